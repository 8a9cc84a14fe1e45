package tlpeer

import (
	"context"
	"time"

	"trefoillanding/core/tlwire"
)

// sendRound sends one round of gossip and queries the suspected instances.
func (g *Gossip) sendRound() {
	self := g.o.LocalState()
	short, long, steady, far, suspects := g.compose(self)
	for _, n := range steady {
		g.sendAsync(n, short)
	}
	if far != "" {
		g.sendAsync(far, long)
	}
	for _, n := range suspects {
		g.mesh.background(func() { g.querySuspect(n) })
	}
}

func (g *Gossip) sendAsync(peer string, t tlwire.Gossip) {
	g.mesh.background(func() {
		ctx, cancel := context.WithTimeout(g.mesh.ctx, g.mesh.o.SuspectAfter)
		defer cancel()
		_ = Send(ctx, g.mesh, peer, kindGossip, t)
	})
}

// compose advances the round and returns the short message, for the neighbours
// of every round, the long one, for this round's far neighbour, and the suspected
// instances to query.
func (g *Gossip) compose(self LocalState) (short, long tlwire.Gossip, steady []string, far string, suspects []string) {
	now := g.mesh.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.view.Tick(now) {
		g.mesh.count(countSelfPaused)
	}
	g.view.RecordHeard(now, g.mesh.o.Name, g.mesh.o.Incarnation, self.Draining)
	steady, far = g.view.Neighbours(g.round)
	g.round++
	for _, p := range self.Pools {
		g.pools.Put(p.Pool, p, now)
	}
	old := now.Add(-figureLifeHeartbeats * g.mesh.o.Heartbeat)
	g.pools.EvictBefore(old)
	g.loads.EvictBefore(old)
	short = tlwire.Gossip{
		Name:        g.mesh.o.Name,
		Incarnation: g.mesh.o.Incarnation,
		Generation:  self.Generation,
		Draining:    self.Draining,
		Open:        self.Open,
		Sightings:   g.view.Sightings(now, maxSightings),
	}
	long = short
	long.Loads, long.Pools = g.nextLoads(now), g.nextPools(now)
	return short, long, steady, far, g.suspectsToQuery(now)
}

func (g *Gossip) nextLoads(now time.Time) []tlwire.InstanceLoad {
	var out []tlwire.InstanceLoad
	for _, n := range g.loads.NextToSend(maxLoads) {
		l, at, _ := g.loads.Get(n)
		l.Age = now.Sub(at)
		out = append(out, l)
	}
	return out
}

func (g *Gossip) nextPools(now time.Time) []tlwire.PoolSummary {
	var out []tlwire.PoolSummary
	for _, n := range g.pools.NextToSend(maxPools) {
		p, at, _ := g.pools.Get(n)
		p.Age = now.Sub(at)
		out = append(out, p)
	}
	return out
}

// suspectsToQuery picks at most maxQueried suspected instances that no query is
// in progress for.
func (g *Gossip) suspectsToQuery(now time.Time) []string {
	var out []string
	for _, n := range g.view.SuspectsToConfirm(now) {
		if len(out) == maxQueried {
			break
		}
		if !g.querying[n] {
			g.querying[n] = true
			out = append(out, n)
		}
	}
	return out
}

// querySuspect queries a suspected instance itself, and if that fails the
// instances that receive its gossip at every heartbeat.
func (g *Gossip) querySuspect(name string) {
	g.mesh.count(countSuspectQueried)
	ctx, cancel := context.WithTimeout(g.mesh.ctx, g.mesh.o.SuspectAfter)
	defer cancel()
	g.mu.Lock()
	peers := append([]string{name}, g.view.Watchers(name)...)
	g.mu.Unlock()
	for _, p := range peers {
		if g.fetchSighting(ctx, p, name) {
			break
		}
	}
	g.mu.Lock()
	delete(g.querying, name)
	g.mu.Unlock()
}

// fetchSighting asks one peer when it last heard from an instance, records the
// answer, and returns whether that was less than SuspectAfter ago.
func (g *Gossip) fetchSighting(ctx context.Context, peer, name string) bool {
	ctx, cancel := context.WithTimeout(ctx, g.mesh.o.SuspectAfter/3)
	defer cancel()
	s, err := Call[tlwire.SightingCall, tlwire.Sighting](ctx, g.mesh, peer, kindSighting, tlwire.SightingCall{Name: name})
	if err != nil {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.view.ApplySighting(g.mesh.now(), s)
	return s.HeardAgo > 0 && s.HeardAgo < g.mesh.o.SuspectAfter
}
