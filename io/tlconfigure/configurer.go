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

// Kinds of the messages between configurers.
const (
	kindFollow  = "ConfigFollow"
	kindInForce = "ConfigInForce"
)

// Configurer keeps the configuration of one instance up to date.
type Configurer struct {
	o         Options
	ctx       context.Context
	cancel    context.CancelFunc
	running   sync.WaitGroup
	done      chan struct{}
	inForce   atomic.Pointer[versionedConfig]
	currentAt atomic.Int64

	mu              sync.Mutex
	machine         *tlconfig.StateMachine
	recent          recordBuffer
	changed         chan struct{}
	newestPeer      peerGeneration
	cancelRead      context.CancelFunc
	snapshotTriedAt time.Time
}

// versionedConfig is a configuration with its generation.
type versionedConfig struct {
	generation uint64
	config     *tlconfig.Config
}

// peerGeneration is the newest generation seen at a peer, and when it was first seen.
type peerGeneration struct {
	generation uint64
	name       string
	seenAt     time.Time
}

// New returns a configurer and registers it with a mesh that has not been started.
func New(o Options) *Configurer {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Configurer{
		o:       o,
		ctx:     ctx,
		cancel:  cancel,
		done:    make(chan struct{}),
		machine: tlconfig.NewStateMachine(),
		changed: make(chan struct{}),
	}
	c.inForce.Store(&versionedConfig{})
	tlpeer.Handle(o.Mesh, kindFollow, c.answerFollow)
	tlpeer.Handle(o.Mesh, kindInForce, c.answerInForce)
	return c
}

// Start starts the configurer's goroutines; the mesh must have been started.
func (c *Configurer) Start() {
	c.running.Go(c.readLoop)
	c.running.Go(c.announceLoop)
	c.running.Go(c.lagLoop)
	go func() {
		c.running.Wait()
		close(c.done)
	}()
}

// Close stops the configurer without waiting; Done is closed when it has stopped.
func (c *Configurer) Close() {
	c.cancel()
}

// Done returns a channel that is closed when the configurer has stopped.
func (c *Configurer) Done() <-chan struct{} {
	return c.done
}

// Current returns the generation in force and its configuration, or 0 and nil
// before the first one.
func (c *Configurer) Current() (uint64, *tlconfig.Config) {
	f := c.inForce.Load()
	return f.generation, f.config
}

// Age returns how long ago the configuration was last known to be current.
func (c *Configurer) Age() time.Duration {
	return c.o.Now().Sub(time.Unix(0, c.currentAt.Load()))
}

// ObservePeerGeneration records a generation that a peer reports.
func (c *Configurer) ObservePeerGeneration(peer string, generation uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if generation > c.machine.State().Generation && generation > c.newestPeer.generation {
		c.newestPeer = peerGeneration{generation: generation, name: peer, seenAt: c.o.Now()}
	}
}

// applyRecords applies records to the state machine and publishes the result.
func (c *Configurer) applyRecords(records []tlwire.LogRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range records {
		next := c.machine.NextOffset()
		outcome := c.machine.Apply(r)
		c.o.Add(outcome.String(), 1)
		if next == r.Offset || next == 0 {
			c.recent.add(r)
		}
		if outcome == tlconfig.Missing || outcome == tlconfig.Restored {
			break
		}
	}
	c.publish()
}

// adopt replaces the state with a peer's state if that is newer.
func (c *Configurer) adopt(s tlconfig.State) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.machine.Adopt(s) {
		return
	}
	c.o.Add(countAdopted, 1)
	c.recent = recordBuffer{}
	c.publish()
}

// publish puts the state machine's state in force if it is newer, and wakes
// those who wait for a change; the caller holds mu.
func (c *Configurer) publish() {
	s := c.machine.State()
	if s.Generation > c.inForce.Load().generation {
		c.inForce.Store(&versionedConfig{generation: s.Generation, config: tlconfig.New(s.Declared)})
		c.o.Add(countInForce, 1)
	}
	close(c.changed)
	c.changed = make(chan struct{})
}

// markCurrent records that the configuration was known to be current the given
// time ago.
func (c *Configurer) markCurrent(ago time.Duration) {
	at := c.o.Now().Add(-ago).UnixNano()
	for {
		old := c.currentAt.Load()
		if at <= old || c.currentAt.CompareAndSwap(old, at) {
			return
		}
	}
}

// nextOffset returns the offset to read next, and a channel that is closed when
// records or a peer's state arrive.
func (c *Configurer) nextOffset() (uint64, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.NextOffset(), c.changed
}

func (c *Configurer) state() (tlconfig.State, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.State(), c.machine.IsKnown()
}

// announceLoop logs each generation that comes into force and calls OnChange.
func (c *Configurer) announceLoop() {
	announced := uint64(0)
	for {
		_, changed := c.nextOffset()
		g, k := c.Current()
		if g > announced {
			announced = g
			c.o.Logger.WithField("Generation", g).Info("configuration in force")
			c.o.OnChange(g, k)
		}
		select {
		case <-changed:
		case <-c.ctx.Done():
			return
		}
	}
}
