package tloutbox

import (
	"context"
	"sync"
	"time"

	"trefoillanding/io/tlmetric"
)

const (
	// maxQueuedMessages is the capacity of one peer's queue.
	maxQueuedMessages = 4096
	// workerIdleTimeout is the time without messages after which a peer's worker ends.
	workerIdleTimeout = 30 * time.Second
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
	// Send sends the message; it returns once the message is sent or has failed.
	Send func(ctx context.Context) error
}

// Outbox sends messages to each peer in the order in which they were posted.
type Outbox struct {
	timeout  time.Duration
	counters *tlmetric.Group
	ctx      context.Context
	stop     context.CancelFunc
	workers  sync.WaitGroup
	done     chan struct{}

	mu     sync.Mutex
	queues map[string]chan Message
}

// New returns an outbox that sends each message with the timeout; it runs until Close.
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

// Post queues a message for a peer; if the queue is full, the message is dropped
// and counted, and after Close it is dropped.
func (o *Outbox) Post(peer string, m Message) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.ctx.Err() != nil {
		return
	}
	q := o.queues[peer]
	if q == nil {
		q = make(chan Message, maxQueuedMessages)
		o.queues[peer] = q
		o.workers.Go(func() { o.runWorker(peer, q) })
	}
	select {
	case q <- m:
	default:
		o.counters.Count(dropped)
	}
}

// Close drops the queued messages, cancels those being sent and waits for the workers.
func (o *Outbox) Close() {
	o.mu.Lock()
	o.stop()
	o.mu.Unlock()
	o.workers.Wait()
	close(o.done)
}

// Done returns a channel that is closed once all workers have ended.
func (o *Outbox) Done() <-chan struct{} {
	return o.done
}

func (o *Outbox) runWorker(peer string, q chan Message) {
	idle := time.NewTimer(workerIdleTimeout)
	defer idle.Stop()
	for {
		select {
		case <-o.ctx.Done():
			return
		case m := <-q:
			o.send(m)
			idle.Reset(workerIdleTimeout)
		case <-idle.C:
			if o.removeIdleQueue(peer, q) {
				return
			}
			idle.Reset(workerIdleTimeout)
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

// removeIdleQueue removes an idle peer's queue and reports whether it did; a
// message posted in the meantime keeps the queue.
func (o *Outbox) removeIdleQueue(peer string, q chan Message) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(q) > 0 {
		return false
	}
	delete(o.queues, peer)
	return true
}
