package tlconfigure

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"trefoillanding/core/tlconfig"
	"trefoillanding/core/tlwire"
	"trefoillanding/io/tlpeer"
)

// The kinds of messages between configurers.
const (
	kindFollow  = "ConfigFollow"
	kindInForce = "ConfigInForce"
)

// Configurer keeps the configuration of one instance.
type Configurer struct {
	o       Options
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
	done    chan struct{}
	inForce atomic.Pointer[inForce]
	current atomic.Int64

	mu        sync.Mutex
	fold      *tlconfig.StateMachine
	recent    recent
	moved     chan struct{}
	heard     heard
	interrupt context.CancelFunc
	snapshot  time.Time
}

// inForce is a generation with its configuration.
type inForce struct {
	generation uint64
	config     *tlconfig.Config
}

// heard is the newest generation that a peer is known to have.
type heard struct {
	generation uint64
	from       string
	at         time.Time
}

// New adds a configurer to a mesh that has not been started.
func New(o Options) *Configurer {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Configurer{
		o:      o,
		ctx:    ctx,
		cancel: cancel,
		done:   make(chan struct{}),
		fold:   tlconfig.NewStateMachine(),
		moved:  make(chan struct{}),
	}
	c.inForce.Store(&inForce{})
	tlpeer.Handle(o.Mesh, kindFollow, c.answerFollow)
	tlpeer.Handle(o.Mesh, kindInForce, c.answerInForce)
	return c
}

// Start begins to read; the mesh has been started before.
func (c *Configurer) Start() {
	c.running.Go(c.readLoop)
	c.running.Go(c.announceLoop)
	c.running.Go(c.lagLoop)
	go func() {
		c.running.Wait()
		close(c.done)
	}()
}

// Close ends the configurer; Done tells when that has happened.
func (c *Configurer) Close() {
	c.cancel()
}

// Done is closed when the configurer has ended.
func (c *Configurer) Done() <-chan struct{} {
	return c.done
}

// Current returns the configuration in force and its generation; nil and 0
// before there is one.
func (c *Configurer) Current() (uint64, *tlconfig.Config) {
	f := c.inForce.Load()
	return f.generation, f.config
}

// Age returns how long ago the configuration was last known to be current.
func (c *Configurer) Age() time.Duration {
	return c.o.Now().Sub(time.Unix(0, c.current.Load()))
}

// ObservePeerGeneration takes in that a peer has a generation.
func (c *Configurer) ObservePeerGeneration(peer string, generation uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if generation > c.fold.State().Generation && generation > c.heard.generation {
		c.heard = heard{generation: generation, from: peer, at: c.o.Now()}
	}
}

// take folds records and puts in force what they give.
func (c *Configurer) take(records []tlwire.LogRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range records {
		next := c.fold.NextOffset()
		ruling := c.fold.Apply(r)
		c.o.Add(ruling.String(), 1)
		if next == r.Offset || next == 0 {
			c.recent.add(r)
		}
		if ruling == tlconfig.Missing || ruling == tlconfig.Restored {
			break
		}
	}
	c.publish()
}

// adopt takes over a peer's state where it is newer.
func (c *Configurer) adopt(s tlconfig.State) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.fold.Adopt(s) {
		return
	}
	c.o.Add(countAdopted, 1)
	c.recent = recent{}
	c.publish()
}

// publish puts the fold's state in force when it is newer; mu is held.
func (c *Configurer) publish() {
	s := c.fold.State()
	if s.Generation > c.inForce.Load().generation {
		c.inForce.Store(&inForce{generation: s.Generation, config: tlconfig.New(s.Declared)})
		c.o.Add(countInForce, 1)
	}
	close(c.moved)
	c.moved = make(chan struct{})
}

// markCurrent notes that the log's end was seen some time ago.
func (c *Configurer) markCurrent(ago time.Duration) {
	at := c.o.Now().Add(-ago).UnixNano()
	for {
		old := c.current.Load()
		if at <= old || c.current.CompareAndSwap(old, at) {
			return
		}
	}
}

// next returns the offset to read next, and a channel that is closed when records come.
func (c *Configurer) next() (uint64, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fold.NextOffset(), c.moved
}

func (c *Configurer) state() (tlconfig.State, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fold.State(), c.fold.IsKnown()
}

// announceLoop tells of each generation that comes into force.
func (c *Configurer) announceLoop() {
	told := uint64(0)
	for {
		_, moved := c.next()
		g, k := c.Current()
		if g > told {
			told = g
			c.o.Logger.WithField("Generation", g).Info("configuration in force")
			c.o.OnChange(g, k)
		}
		select {
		case <-moved:
		case <-c.ctx.Done():
			return
		}
	}
}
