package tlgateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"trefoillanding/core/tlendpoint"
	"trefoillanding/io/tlsend"
)

const (
	// confirmTimeout bounds the questions which incarnation of an engine answers.
	confirmTimeout = 400 * time.Millisecond
	// confirmRetryInterval is the time between two of them where the first was not sent.
	confirmRetryInterval = 50 * time.Millisecond
)

var errOtherIncarnation = errors.New("another incarnation of the engine answered")

// confirm makes sure that an answer is that of the incarnation of an engine that is
// listed. Its restart may not be listed yet, and under its ID may run another version. A
// connection that was opened before the listed one has said that it is there leads to it.
func (g *generation) confirm(e tlendpoint.Endpoint, r *tlsend.Reply) error {
	isOnce := !g.x.route.Resumable && g.lastEventID == ""
	if isOnce || e.Role == tlendpoint.NoRole || e.Incarnation == 0 {
		return nil
	}
	ctx, stop := context.WithTimeout(g.ctx, confirmTimeout)
	defer stop()
	d := g.x.g.deps
	for !r.DialedAt.Before(d.Directory.ConfirmedAt(e)) {
		err := g.x.g.questions.ask(ctx, e, func() error { return d.confirm(ctx, e) })
		if err == nil {
			continue
		}
		if !isUnasked(err) {
			return err
		}
		select {
		case <-time.After(confirmRetryInterval):
		case <-ctx.Done():
			return err
		}
	}
	return nil
}

// confirm asks an engine which incarnation it is, and records it if it is the one listed.
func (d *Deps) confirm(ctx context.Context, e tlendpoint.Endpoint) error {
	asked := d.Now()
	n, err := d.Incarnation(ctx, e)
	if err != nil {
		return err
	}
	if n != 0 && n != e.Incarnation {
		return errOtherIncarnation
	}
	d.Directory.Confirm(asked, e)
	return nil
}

// isUnasked reports whether a question was not put to the engine, or given up by the
// request that put it for several.
func isUnasked(err error) bool {
	var f *tlsend.Error
	return errors.As(err, &f) && f.IsUnsent || errors.Is(err, context.Canceled)
}

// questions lets the streams of an engine share the question which incarnation it is: the
// answer holds for all connections that were opened before it was put, and each question
// counts towards the engine's limit.
type questions struct {
	mu     sync.Mutex
	asking map[string]*question
}

// question is one that is being asked; err is set once done is closed.
type question struct {
	done chan struct{}
	err  error
}

// ask asks an engine, or waits for the answer to the question that is being asked.
func (q *questions) ask(ctx context.Context, e tlendpoint.Endpoint, f func() error) error {
	q.mu.Lock()
	k := q.asking[e.ID]
	if k != nil {
		q.mu.Unlock()
		select {
		case <-k.done:
			return k.err
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	k = &question{done: make(chan struct{}), err: errPanicked}
	q.asking[e.ID] = k
	q.mu.Unlock()
	defer func() {
		q.mu.Lock()
		delete(q.asking, e.ID)
		q.mu.Unlock()
		close(k.done)
	}()
	k.err = f()
	return k.err
}
