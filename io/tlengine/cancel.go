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

var errCancelGivenUp = errors.New("the engine never confirmed the cancel")

// Cancel frees an attempt at an engine; it returns at once and goes on after
// its caller until the engine confirms it.
func (c *Client) Cancel(a netip.AddrPort, attempt string) {
	c.canceller.add(target{engine: a, attempt: attempt})
}

// CancelIfOwner is Cancel for as long as the attempt's owner is the one named: an
// attempt that another instance has resumed is left alone.
func (c *Client) CancelIfOwner(a netip.AddrPort, attempt, owner string, incarnation uint64) {
	c.canceller.add(target{a, attempt, owner, incarnation})
}

// Confirm cancels an attempt and waits until the engine confirms it.
func (c *Client) Confirm(x context.Context, a netip.AddrPort, attempt string) error {
	j := c.canceller.add(target{engine: a, attempt: attempt})
	select {
	case <-j.done:
		return j.err
	case <-x.Done():
		return x.Err()
	case <-c.done:
		return errCancelGivenUp
	}
}

// Cancelling returns how many cancels are not confirmed yet.
func (c *Client) Cancelling() int {
	return c.canceller.size()
}

// target is what a cancel frees; an empty owner means whoever owns it.
type target struct {
	engine      netip.AddrPort
	attempt     string
	owner       string
	incarnation uint64
}

// cancellation is a cancel that the engine has not confirmed yet.
type cancellation struct {
	target target
	since  time.Time
	due    time.Time
	tries  int
	done   chan struct{}
	err    error
}

// canceller repeats cancels from a pool of workers over one table. Its mutex
// is a leaf: nothing else is locked while it is held.
type canceller struct {
	options Options
	once    func(x context.Context, t target) error
	changed chan struct{}

	mutex   sync.Mutex
	random  *rand.Rand
	pending map[target]*cancellation
	due     dueHeap
	busy    map[netip.AddrPort]int
	waiting map[netip.AddrPort][]*cancellation
	empty   chan struct{}
}

func newCanceller(o Options, once func(context.Context, target) error) *canceller {
	return &canceller{
		options: o,
		once:    once,
		changed: make(chan struct{}, 1),
		random:  rand.New(rand.NewPCG(o.Seed, o.Seed)),
		pending: map[target]*cancellation{},
		busy:    map[netip.AddrPort]int{},
		waiting: map[netip.AddrPort][]*cancellation{},
	}
}

func (c *canceller) add(t target) *cancellation {
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

// run hands due cancels to the workers until its context ends.
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
		j, wait := c.take(time.Now())
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

// take returns a cancel that is due at an engine which is not too busy, or how
// long to wait for one.
func (c *canceller) take(now time.Time) (*cancellation, time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for len(c.due) > 0 {
		if d := c.due[0].due.Sub(now); d > 0 {
			return nil, d
		}
		j := heap.Pop(&c.due).(*cancellation)
		a := j.target.engine
		if c.busy[a] < c.options.CancelsPerEngine {
			c.busy[a]++
			return j, 0
		}
		c.waiting[a] = append(c.waiting[a], j)
	}
	return nil, c.options.CancelFor
}

func (c *canceller) try(x context.Context, j *cancellation) {
	c.options.Count(CountCancelSent, 1)
	if j.tries > 0 {
		c.options.Count(CountCancelRepeated, 1)
	}
	err := c.once(x, j.target)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.free(j.target.engine)
	if err == nil {
		c.options.Count(CountCancelConfirmed, 1)
		c.end(j)
		return
	}
	if isOtherOwner(err) {
		c.options.Count(CountCancelTaken, 1)
		j.err = err
		c.end(j)
		return
	}
	now := time.Now()
	if now.Sub(j.since) > c.options.CancelFor {
		c.options.Count(CountCancelGivenUp, 1)
		j.err = errors.Join(errCancelGivenUp, err)
		c.end(j)
		return
	}
	j.due = now.Add(c.delay(j.tries))
	j.tries++
	heap.Push(&c.due, j)
	c.wake()
}

// delay doubles with each try, and is drawn between half of that and all; it
// needs the mutex.
func (c *canceller) delay(tries int) time.Duration {
	d := c.options.CancelBase
	for ; tries > 0 && d < c.options.CancelMost; tries-- {
		d *= 2
	}
	d = min(d, c.options.CancelMost)
	return d/2 + time.Duration(c.random.Int64N(int64(d/2)+1))
}

// free lets the next cancel of an engine go on; it needs the mutex.
func (c *canceller) free(a netip.AddrPort) {
	c.busy[a]--
	if c.busy[a] == 0 {
		delete(c.busy, a)
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

// end needs the mutex.
func (c *canceller) end(j *cancellation) {
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
