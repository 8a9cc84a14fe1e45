package tlregistry

import (
	"context"
	"sync"
	"time"

	"trefoillanding/core/tlorigin"
	"trefoillanding/core/tlwire"
	"trefoillanding/io/tlpeer"
)

// kindWriteOrigins asks the writer to append origins; the answer comes once the log has them.
const kindWriteOrigins = "WriteOrigins"

const (
	// maxGroupInterval bounds the time between two appends of the writer. CallInterval grows
	// with the fleet, since it is that of instances that append each for itself.
	maxGroupInterval = 250 * time.Millisecond
	// writerTimeout bounds the wait for the writer, which may collect origins for as long as
	// maxGroupInterval and then appends them.
	writerTimeout = time.Second
	// writerPause is how long the writer is not asked after it failed to answer.
	writerPause = time.Second
)

// groupWrite is what several instances wait for to be appended.
type groupWrite struct {
	list []tlorigin.Origin
	// done receives the result of the append; it has room for one.
	done chan error
}

// groupWriter collects the origins of all instances and appends them together.
type groupWriter struct {
	mu      sync.Mutex
	waiting []groupWrite
	// wake signals that something is waiting.
	wake chan struct{}
}

func newGroupWriter() *groupWriter {
	return &groupWriter{wake: make(chan struct{}, 1)}
}

// add queues origins and returns the channel that receives the result.
func (g *groupWriter) add(list []tlorigin.Origin) <-chan error {
	w := groupWrite{list, make(chan error, 1)}
	g.mu.Lock()
	g.waiting = append(g.waiting, w)
	g.mu.Unlock()
	select {
	case g.wake <- struct{}{}:
	default:
	}
	return w.done
}

// take returns what is waiting, at most maxPerRecord origins unless the first exceeds that.
func (g *groupWriter) take() []groupWrite {
	g.mu.Lock()
	defer g.mu.Unlock()
	n, size := 0, 0
	for n < len(g.waiting) && (n == 0 || size+len(g.waiting[n].list) <= maxPerRecord) {
		size += len(g.waiting[n].list)
		n++
	}
	taken := g.waiting[:n:n]
	g.waiting = g.waiting[n:]
	return taken
}

// runGroupWriter appends what instances ask for until ctx ends, together after each interval.
func (r *Registry) runGroupWriter(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.group.wake:
		}
		for writes := r.group.take(); len(writes) > 0; writes = r.group.take() {
			var list []tlorigin.Origin
			for _, w := range writes {
				list = append(list, w.list...)
			}
			err := r.write(ctx, list)
			for _, w := range writes {
				w.done <- err
			}
			sleep(ctx, min(r.o.CallInterval(), maxGroupInterval))
		}
	}
}

// writeTogether appends origins through the writer, or by itself if that does not answer.
// One writer for all appends as often as one instance would, whatever their number.
func (r *Registry) writeTogether(ctx context.Context, list []tlorigin.Origin) error {
	writer := r.o.Writer()
	if writer == r.o.Self {
		return wait(ctx, r.group.add(list))
	}
	if writer != "" && !r.o.Now().Before(r.writerPausedUntil) {
		asking, stop := context.WithTimeout(ctx, writerTimeout)
		defer stop()
		_, err := tlpeer.Call[tlwire.StreamOrigins, tlpeer.Empty](asking, r.o.Mesh, writer, kindWriteOrigins, r.encode(list))
		if err == nil {
			return nil
		}
		r.writerPausedUntil = r.o.Now().Add(writerPause)
		r.o.Count(WriterSilent)
	}
	return r.write(ctx, list)
}

// handleWriteOrigins appends the origins of another instance.
func (r *Registry) handleWriteOrigins(ctx context.Context, _ tlpeer.Peer, m tlwire.StreamOrigins) (tlpeer.Empty, error) {
	return tlpeer.Empty{}, wait(ctx, r.group.add(r.learn(m)))
}

// wait returns the result of a write, or the error of ctx if it ends first.
func wait(ctx context.Context, done <-chan error) error {
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}
