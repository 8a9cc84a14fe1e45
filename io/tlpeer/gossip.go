package tlpeer

import (
	"context"
	"sync"
	"time"

	"trefoillanding/core/tlmember"
	"trefoillanding/core/tlwire"
)

// The kinds of messages that gossip uses.
const (
	kindGossip = "Gossip"
	kindAsk    = "Sighting"
)

// The bounds of one gossip message and one heartbeat.
const (
	maxSightings = 8
	maxLoads     = 8
	maxPools     = 12
	maxAsked     = 8
	figureLife   = 60
)

// GossipOptions is what gossip needs from its surroundings.
type GossipOptions struct {
	// Timeouts sets how long it waits before it believes the worst.
	Timeouts tlmember.Timeouts
	// LocalState returns what to tell of this instance.
	LocalState func() LocalState
	// OnGeneration is told when a peer has a generation; it must not block.
	OnGeneration func(peer string, generation uint64)
}

// Gossip exchanges liveness, loads and pool summaries with a bounded set of
// neighbours, and holds what this instance believes of the others.
type Gossip struct {
	mesh *Mesh
	o    GossipOptions
	done chan struct{}

	mu    sync.Mutex
	view  *tlmember.View
	pools *tlmember.GossipTable[tlwire.PoolSummary]
	loads *tlmember.GossipTable[tlwire.InstanceLoad]
	asked map[string]bool
	round int
}

// NewGossip adds gossip to a mesh that has not been started.
func NewGossip(m *Mesh, o GossipOptions) *Gossip {
	g := &Gossip{
		mesh:  m,
		o:     o,
		done:  make(chan struct{}),
		view:  tlmember.New(m.o.Name, o.Timeouts),
		pools: tlmember.NewGossipTable[tlwire.PoolSummary](),
		loads: tlmember.NewGossipTable[tlwire.InstanceLoad](),
		asked: map[string]bool{},
	}
	g.view.Refute(m.now(), m.o.Incarnation)
	m.unreachable = g.Unreachable
	Handle(m, kindGossip, g.take)
	Handle(m, kindAsk, g.answer)
	return g
}

// Start sends gossip until the mesh is closed.
func (g *Gossip) Start() {
	go func() {
		defer close(g.done)
		t := time.NewTicker(g.mesh.o.Heartbeat)
		defer t.Stop()
		for {
			select {
			case <-g.mesh.ctx.Done():
				return
			case <-t.C:
				g.beat()
			}
		}
	}()
}

// Done is closed when gossip has ended.
func (g *Gossip) Done() <-chan struct{} {
	return g.done
}

// SetInstances takes in the platform's lagging list of instances.
func (g *Gossip) SetInstances(l tlwire.InstanceList) {
	g.mesh.SetInstances(l)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.view.SetInstances(g.mesh.now(), l)
}

// Unreachable notes that a peer could not be reached.
func (g *Gossip) Unreachable(peer string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.view.Suspect(g.mesh.now(), peer)
}

// Live returns the instances that stay and are not doubted.
func (g *Gossip) Live() []tlmember.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.view.Live()
}

// All returns every listed instance with what is believed of it.
func (g *Gossip) All() []tlmember.MemberStatus {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.view.All(g.mesh.now())
}

// Home returns the instance that is the home of a pool.
func (g *Gossip) Home(pool, dataCentre string) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.view.Home(pool, dataCentre)
}

// IsHome says whether this instance is the home of a pool.
func (g *Gossip) IsHome(pool, dataCentre string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.view.IsHome(pool, dataCentre)
}

// Chosen returns the live instances of a data centre picked for a purpose, best first.
func (g *Gossip) Chosen(purpose, dataCentre string, n int) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.view.Chosen(purpose, dataCentre, n)
}

// Oldest returns the instance that has a purpose and started first; see tlmember.View.Oldest.
func (g *Gossip) Oldest(purpose string, n int) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.view.Oldest(purpose, n)
}

// Largest returns the instances that do a purpose for many; see tlmember.View.Largest.
func (g *Gossip) Largest(purpose string, n int) []tlmember.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.view.Largest(purpose, n)
}

// maxTold bounds the instances that are told at once of a change.
const maxTold = 16

// Announce sends gossip at once, to more instances than at a heartbeat, since what
// this instance says of itself has changed.
func (g *Gossip) Announce() {
	g.beat()
	short, _, _, _, _ := g.compose(g.o.LocalState())
	for n, m := range g.Live() {
		if n == maxTold {
			return
		}
		if m.Name != g.mesh.o.Name {
			g.post(m.Name, short)
		}
	}
}

// OwnerLiveness says whether an incarnation of an instance may still serve its streams.
func (g *Gossip) OwnerLiveness(owner string, incarnation uint64) tlmember.Liveness {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.view.OwnerLiveness(owner, incarnation, g.mesh.now())
}

// Summary returns the latest that is known of a pool elsewhere, and its age.
func (g *Gossip) Summary(pool string) (tlwire.PoolSummary, time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s, at, ok := g.pools.Get(pool)
	return s, g.mesh.now().Sub(at), ok
}

// Load returns the latest that is known of another instance's load, and its age.
func (g *Gossip) Load(instance string) (tlwire.InstanceLoad, time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	l, at, ok := g.loads.Get(instance)
	return l, g.mesh.now().Sub(at), ok
}

// Neighbours returns the instances that gossip goes to next.
func (g *Gossip) Neighbours() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	steady, far := g.view.Neighbours(g.round)
	if far != "" {
		steady = append(steady, far)
	}
	return steady
}

func (g *Gossip) take(_ context.Context, from Peer, t tlwire.Gossip) (Nothing, error) {
	now := g.mesh.now()
	g.mu.Lock()
	g.view.RecordHeard(now, from.Name, from.Incarnation, t.Draining)
	g.putLoad(now, tlwire.InstanceLoad{
		Name:        from.Name,
		Incarnation: from.Incarnation,
		Open:        t.Open,
		Draining:    t.Draining,
		Generation:  t.Generation,
	})
	for _, l := range t.Loads {
		l.Age = max(l.Age, 0)
		g.view.RecordHeard(now.Add(-l.Age), l.Name, l.Incarnation, l.Draining)
		g.putLoad(now, l)
	}
	for _, p := range t.Pools {
		g.pools.Put(p.Pool, p, now.Add(-max(p.Age, 0)))
	}
	for _, s := range t.Sightings {
		if g.view.ApplySighting(now, s) {
			g.mesh.count(countRefuted)
			g.view.Refute(now, g.mesh.o.Incarnation)
		}
	}
	g.mu.Unlock()
	if g.o.OnGeneration != nil {
		g.o.OnGeneration(from.Name, t.Generation)
	}
	return Nothing{}, nil
}

func (g *Gossip) putLoad(now time.Time, l tlwire.InstanceLoad) {
	if l.Name == g.mesh.o.Name {
		return
	}
	at := now.Add(-l.Age)
	l.Age = 0
	g.loads.Put(l.Name, l, at)
}

func (g *Gossip) answer(_ context.Context, from Peer, q tlwire.SightingCall) (tlwire.Sighting, error) {
	now := g.mesh.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.view.RecordHeard(now, from.Name, from.Incarnation, false)
	if q.Name == g.mesh.o.Name {
		return tlwire.Sighting{Name: q.Name, Incarnation: g.mesh.o.Incarnation, HeardAgo: 1}, nil
	}
	return g.view.Sighting(now, q.Name), nil
}
