package tlpeer

import (
	"context"
	"sync"
	"time"

	"trefoillanding/core/tlmember"
	"trefoillanding/core/tlwire"
)

// The kinds of messages that gossip sends.
const (
	kindGossip   = "Gossip"
	kindSighting = "Sighting"
)

// The limits of one gossip message, and of the queries started at one heartbeat.
const (
	maxSightings = 8
	maxLoads     = 8
	maxPools     = 12
	maxQueried   = 8
	// figureLifeHeartbeats is the age, in heartbeats, at which loads and pool
	// summaries are evicted.
	figureLifeHeartbeats = 60
)

// GossipOptions configures a Gossip.
type GossipOptions struct {
	// Timeouts sets when a silent instance is suspected, and when it counts as gone.
	Timeouts tlmember.Timeouts
	// LocalState returns the state of this instance to gossip.
	LocalState func() LocalState
	// OnGeneration is called with the configuration generation of each gossip
	// message from a peer; it must not block. It may be nil.
	OnGeneration func(peer string, generation uint64)
}

// Gossip exchanges liveness, loads and pool summaries with a bounded set of
// neighbours, and holds this instance's view of the others.
type Gossip struct {
	mesh *Mesh
	o    GossipOptions
	done chan struct{}

	mu       sync.Mutex
	view     *tlmember.View
	pools    *tlmember.GossipTable[tlwire.PoolSummary]
	loads    *tlmember.GossipTable[tlwire.InstanceLoad]
	querying map[string]bool
	round    int
}

// NewGossip adds gossip to a mesh, which must not have been started.
func NewGossip(m *Mesh, o GossipOptions) *Gossip {
	g := &Gossip{
		mesh:     m,
		o:        o,
		done:     make(chan struct{}),
		view:     tlmember.New(m.o.Name, o.Timeouts),
		pools:    tlmember.NewGossipTable[tlwire.PoolSummary](),
		loads:    tlmember.NewGossipTable[tlwire.InstanceLoad](),
		querying: map[string]bool{},
	}
	g.view.Refute(m.now(), m.o.Incarnation)
	m.onUnreachable = g.MarkUnreachable
	Handle(m, kindGossip, g.handleGossip)
	Handle(m, kindSighting, g.handleSightingCall)
	return g
}

// Start sends gossip at every heartbeat, in the background, until the mesh is closed.
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
				g.sendRound()
			}
		}
	}()
}

// Done is closed when gossip has ended.
func (g *Gossip) Done() <-chan struct{} {
	return g.done
}

// SetInstances applies the platform's list of instances, which may be out of date.
func (g *Gossip) SetInstances(l tlwire.InstanceList) {
	g.mesh.SetInstances(l)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.view.SetInstances(g.mesh.now(), l)
}

// MarkUnreachable suspects a peer that could not be reached.
func (g *Gossip) MarkUnreachable(peer string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.view.Suspect(g.mesh.now(), peer)
}

// Live returns the listed instances that are neither draining nor suspected.
func (g *Gossip) Live() []tlmember.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.view.Live()
}

// All returns every listed instance with its state as this instance sees it.
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

// IsHome reports whether this instance is the home of a pool.
func (g *Gossip) IsHome(pool, dataCentre string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.view.IsHome(pool, dataCentre)
}

// Chosen returns up to n live instances of a data centre that are chosen for a
// purpose, best first; see tlmember.View.Chosen.
func (g *Gossip) Chosen(purpose, dataCentre string, n int) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.view.Chosen(purpose, dataCentre, n)
}

// Oldest returns, of the n instances that Largest chooses for a purpose, the one
// that started first; see tlmember.View.Oldest.
func (g *Gossip) Oldest(purpose string, n int) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.view.Oldest(purpose, n)
}

// OldestMember returns the same instance with what is known of it; see tlmember.View.OldestMember.
func (g *Gossip) OldestMember(purpose string, n int) tlmember.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.view.OldestMember(purpose, n)
}

// Successors returns up to count instances in the order in which a purpose moves to
// them; see tlmember.View.Successors.
func (g *Gossip) Successors(purpose string, n, count int) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.view.Successors(purpose, n, count)
}

// Largest returns up to n live instances with the most capacity that are chosen
// for a purpose; see tlmember.View.Largest.
func (g *Gossip) Largest(purpose string, n int) []tlmember.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.view.Largest(purpose, n)
}

// maxAnnounced limits how many live instances an announcement is sent to.
const maxAnnounced = 16

// Announce sends gossip at once, to more instances than at a heartbeat; it is for
// changes of this instance's own state.
func (g *Gossip) Announce() {
	g.sendRound()
	short, _, _, _, _ := g.compose(g.o.LocalState())
	for n, m := range g.Live() {
		if n == maxAnnounced {
			return
		}
		if m.Name != g.mesh.o.Name {
			g.sendAsync(m.Name, short)
		}
	}
}

// OwnerLiveness says whether an incarnation of an instance may still be serving
// its streams.
func (g *Gossip) OwnerLiveness(owner string, incarnation uint64) tlmember.Liveness {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.view.OwnerLiveness(owner, incarnation, g.mesh.now())
}

// Summary returns the latest known summary of a pool and its age, and whether
// there is one.
func (g *Gossip) Summary(pool string) (tlwire.PoolSummary, time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s, at, ok := g.pools.Get(pool)
	return s, g.mesh.now().Sub(at), ok
}

// Load returns the latest known load of another instance and its age, and whether
// there is one.
func (g *Gossip) Load(instance string) (tlwire.InstanceLoad, time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	l, at, ok := g.loads.Get(instance)
	return l, g.mesh.now().Sub(at), ok
}

// Neighbours returns the instances that the next round of gossip is sent to.
func (g *Gossip) Neighbours() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	steady, far := g.view.Neighbours(g.round)
	if far != "" {
		steady = append(steady, far)
	}
	return steady
}

func (g *Gossip) handleGossip(_ context.Context, from Peer, t tlwire.Gossip) (Empty, error) {
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
			g.mesh.count(countSuspicionRefuted)
			g.view.Refute(now, g.mesh.o.Incarnation)
		}
	}
	g.mu.Unlock()
	if g.o.OnGeneration != nil {
		g.o.OnGeneration(from.Name, t.Generation)
	}
	return Empty{}, nil
}

func (g *Gossip) putLoad(now time.Time, l tlwire.InstanceLoad) {
	if l.Name == g.mesh.o.Name {
		return
	}
	at := now.Add(-l.Age)
	l.Age = 0
	g.loads.Put(l.Name, l, at)
}

func (g *Gossip) handleSightingCall(_ context.Context, from Peer, q tlwire.SightingCall) (tlwire.Sighting, error) {
	now := g.mesh.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.view.RecordSign(now, from.Name, from.Incarnation)
	if q.Name == g.mesh.o.Name {
		return tlwire.Sighting{Name: q.Name, Incarnation: g.mesh.o.Incarnation, HeardAgo: 1}, nil
	}
	return g.view.Sighting(now, q.Name), nil
}
