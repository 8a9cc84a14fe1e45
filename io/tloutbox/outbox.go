package tloutbox

import (
	"context"
	"sync"
	"time"

	"trefoillanding/io/tlmetric"
)

const (
	// queueMessages is the most messages that wait for one peer.
	queueMessages = 4096
	// idleAfter ends a peer's worker that had nothing to send.
	idleAfter = 30 * time.Second
)

// The counters of an outbox.
const (
	sent    = "Sent"
	dropped = "DroppedFull"
	failed  = "SendFailed"
)

// Message is one message to a peer.
type Message struct {
	// Kind names the message.
	Kind string
	// Send sends it; it returns when it is on its way or lost.
	Send func(ctx context.Context) error
}

// Outbox sends messages to each peer in the order in which they were posted.
type Outbox struct {
	timeout  time.Duration
	counters *tlmetric.Group
	ctx      context.Context
	stop     context.CancelFunc
	running  sync.WaitGroup
	done     chan struct{}

	mu     sync.Mutex
	queues map[string]chan Message
}

// New returns an outbox that gives each message the timeout; Close ends it.
func New(timeout time.Duration, m *tlmetric.Set) *Outbox {
	ctx, stop := context.WithCancel(context.Background())
	return &Outbox{
		timeout:  timeout,
		counters: m.Group("Outbox", sent, dropped, failed),
		ctx:      ctx,
		stop:     stop,
		done:     make(chan struct{}),
		queues:   map[string]chan Message{},
	}
}

// Post queues a message; it is dropped and counted when the queue is full.
func (o *Outbox) Post(peer string, m Message) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.ctx.Err() != nil {
		return
	}
	q := o.queues[peer]
	if q == nil {
		q = make(chan Message, queueMessages)
		o.queues[peer] = q
		o.running.Go(func() { o.work(peer, q) })
	}
	select {
	case q <- m:
	default:
		o.counters.Count(dropped)
	}
}

// Close drops what is queued and waits for what is being sent.
func (o *Outbox) Close() {
	o.mu.Lock()
	o.stop()
	o.mu.Unlock()
	o.running.Wait()
	close(o.done)
}

// Done is closed once everything here has ended.
func (o *Outbox) Done() <-chan struct{} {
	return o.done
}

func (o *Outbox) work(peer string, q chan Message) {
	idle := time.NewTimer(idleAfter)
	defer idle.Stop()
	for {
		select {
		case <-o.ctx.Done():
			return
		case m := <-q:
			o.send(m)
			idle.Reset(idleAfter)
		case <-idle.C:
			if o.retire(peer, q) {
				return
			}
			idle.Reset(idleAfter)
		}
	}
}

func (o *Outbox) send(m Message) {
	ctx, stop := context.WithTimeout(o.ctx, o.timeout)
	defer stop()
	if err := m.Send(ctx); err != nil {
		o.counters.Count(failed)
		return
	}
	o.counters.Count(sent)
}

// retire forgets an idle peer, unless a message came in this moment.
func (o *Outbox) retire(peer string, q chan Message) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(q) > 0 {
		return false
	}
	delete(o.queues, peer)
	return true
}
