package tlengine

import (
	"container/heap"
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"
)

var errCancelGivenUp = errors.New("the engine did not confirm the cancel")

// Cancel frees an attempt at an engine. It returns at once and retries in the
// background until the engine confirms or Options.CancelTimeout has passed.
func (c *Client) Cancel(a netip.AddrPort, attempt string) {
	c.canceller.add(cancelTarget{engine: a, attempt: attempt})
}

// CancelIfOwner is like Cancel, but only while the named instance owns the
// attempt: an attempt that another instance has resumed is not cancelled.
func (c *Client) CancelIfOwner(a netip.AddrPort, attempt, owner string, incarnation uint64) {
	c.canceller.add(cancelTarget{a, attempt, owner, incarnation})
}

// CancelAndWait cancels an attempt and waits until the engine confirms it or the context ends.
func (c *Client) CancelAndWait(x context.Context, a netip.AddrPort, attempt string) error {
	j := c.canceller.add(cancelTarget{engine: a, attempt: attempt})
	select {
	case <-j.done:
		return j.err
	case <-x.Done():
		return x.Err()
	case <-c.done:
		return errCancelGivenUp
	}
}

// PendingCancels returns the number of cancels that are still unconfirmed.
func (c *Client) PendingCancels() int {
	return c.canceller.size()
}

// cancelTarget is the attempt that a cancel frees; an empty owner matches any.
type cancelTarget struct {
	engine      netip.AddrPort
	attempt     string
	owner       string
	incarnation uint64
}

// cancellation is a cancel that the engine has not confirmed yet.
type cancellation struct {
	target cancelTarget
	since  time.Time
	due    time.Time
	tries  int
	done   chan struct{}
	err    error
}

// canceller retries pending cancels with a pool of workers. No other lock is
// taken while its mutex is held.
type canceller struct {
	options Options
	send    func(x context.Context, t cancelTarget) error
	changed chan struct{}

	mutex    sync.Mutex
	random   *rand.Rand
	pending  map[cancelTarget]*cancellation
	due      dueHeap
	inFlight map[netip.AddrPort]int
	waiting  map[netip.AddrPort][]*cancellation
	empty    chan struct{}
}

func newCanceller(o Options, send func(context.Context, cancelTarget) error) *canceller {
	return &canceller{
		options:  o,
		send:     send,
		changed:  make(chan struct{}, 1),
		random:   rand.New(rand.NewPCG(o.Seed, o.Seed)),
		pending:  map[cancelTarget]*cancellation{},
		inFlight: map[netip.AddrPort]int{},
		waiting:  map[netip.AddrPort][]*cancellation{},
	}
}

func (c *canceller) add(t cancelTarget) *cancellation {
	now := time.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	j := c.pending[t]
	if j != nil {
		return j
	}
	j = &cancellation{target: t, since: now, due: now, done: make(chan struct{})}
	c.pending[t] = j
	heap.Push(&c.due, j)
	c.wake()
	return j
}

func (c *canceller) size() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.pending)
}

// drain waits until nothing is pending.
func (c *canceller) drain(x context.Context) {
	c.mutex.Lock()
	if len(c.pending) == 0 {
		c.mutex.Unlock()
		return
	}
	if c.empty == nil {
		c.empty = make(chan struct{})
	}
	e := c.empty
	c.mutex.Unlock()
	select {
	case <-e:
	case <-x.Done():
	}
}

// run passes due cancels to the workers until its context ends.
func (c *canceller) run(x context.Context) {
	work := make(chan *cancellation)
	var g sync.WaitGroup
	for range c.options.CancelWorkers {
		g.Go(func() {
			for j := range work {
				c.try(x, j)
			}
		})
	}
	c.dispatch(x, work)
	close(work)
	g.Wait()
}

func (c *canceller) dispatch(x context.Context, work chan<- *cancellation) {
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		j, wait := c.nextDue(time.Now())
		if j != nil {
			select {
			case work <- j:
				continue
			case <-x.Done():
				return
			}
		}
		t.Reset(wait)
		select {
		case <-t.C:
		case <-c.changed:
		case <-x.Done():
			return
		}
	}
}

// nextDue returns a due cancel whose engine has fewer than Options.CancelsPerEngine
// in flight, or how long to wait for one.
func (c *canceller) nextDue(now time.Time) (*cancellation, time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for len(c.due) > 0 {
		if d := c.due[0].due.Sub(now); d > 0 {
			return nil, d
		}
		j := heap.Pop(&c.due).(*cancellation)
		a := j.target.engine
		if c.inFlight[a] < c.options.CancelsPerEngine {
			c.inFlight[a]++
			return j, 0
		}
		c.waiting[a] = append(c.waiting[a], j)
	}
	return nil, c.options.CancelTimeout
}

func (c *canceller) try(x context.Context, j *cancellation) {
	c.options.Count(CountCancelSent, 1)
	if j.tries > 0 {
		c.options.Count(CountCancelRepeated, 1)
	}
	err := c.send(x, j.target)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.releaseSlot(j.target.engine)
	if err == nil {
		c.options.Count(CountCancelConfirmed, 1)
		c.complete(j)
		return
	}
	if isOtherOwner(err) {
		c.options.Count(CountCancelOtherOwner, 1)
		j.err = err
		c.complete(j)
		return
	}
	now := time.Now()
	if now.Sub(j.since) > c.options.CancelTimeout {
		c.options.Count(CountCancelGivenUp, 1)
		j.err = errors.Join(errCancelGivenUp, err)
		c.complete(j)
		return
	}
	j.due = now.Add(c.backoff(j.tries))
	j.tries++
	heap.Push(&c.due, j)
	c.wake()
}

// backoff returns the delay before the next try: it doubles with each try up to
// Options.CancelBackoffMax, with jitter between half of it and the whole.
// The mutex must be held.
func (c *canceller) backoff(tries int) time.Duration {
	d := c.options.CancelBackoffBase
	for ; tries > 0 && d < c.options.CancelBackoffMax; tries-- {
		d *= 2
	}
	d = min(d, c.options.CancelBackoffMax)
	return d/2 + time.Duration(c.random.Int64N(int64(d/2)+1))
}

// releaseSlot lets the next waiting cancel of an engine run. The mutex must be held.
func (c *canceller) releaseSlot(a netip.AddrPort) {
	c.inFlight[a]--
	if c.inFlight[a] == 0 {
		delete(c.inFlight, a)
	}
	l := c.waiting[a]
	if len(l) == 0 {
		return
	}
	heap.Push(&c.due, l[0])
	if len(l) == 1 {
		delete(c.waiting, a)
	} else {
		c.waiting[a] = l[1:]
	}
	c.wake()
}

// complete removes a cancel and wakes its waiters. The mutex must be held.
func (c *canceller) complete(j *cancellation) {
	delete(c.pending, j.target)
	close(j.done)
	if len(c.pending) == 0 && c.empty != nil {
		close(c.empty)
		c.empty = nil
	}
}

func (c *canceller) wake() {
	select {
	case c.changed <- struct{}{}:
	default:
	}
}
