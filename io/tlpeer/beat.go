package tlpeer

import (
	"context"
	"time"

	"trefoillanding/core/tlwire"
)

// beat sends one round of gossip and asks about the instances in doubt.
func (g *Gossip) beat() {
	self := g.o.LocalState()
	short, long, steady, far, doubted := g.compose(self)
	for _, n := range steady {
		g.post(n, short)
	}
	if far != "" {
		g.post(far, long)
	}
	for _, n := range doubted {
		g.mesh.background(func() { g.ask(n) })
	}
}

func (g *Gossip) post(peer string, t tlwire.Gossip) {
	g.mesh.background(func() {
		ctx, cancel := context.WithTimeout(g.mesh.ctx, g.mesh.o.SuspectAfter)
		defer cancel()
		_ = Send(ctx, g.mesh, peer, kindGossip, t)
	})
}

// compose returns the short message for the steady neighbours and the long one
// for the far neighbour of this round.
func (g *Gossip) compose(self LocalState) (short, long tlwire.Gossip, steady []string, far string, doubted []string) {
	now := g.mesh.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.view.Tick(now) {
		g.mesh.count(countPaused)
	}
	g.view.RecordHeard(now, g.mesh.o.Name, g.mesh.o.Incarnation, self.Draining)
	steady, far = g.view.Neighbours(g.round)
	g.round++
	for _, p := range self.Pools {
		g.pools.Put(p.Pool, p, now)
	}
	old := now.Add(-figureLife * g.mesh.o.Heartbeat)
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
	long.Loads, long.Pools = g.pickLoads(now), g.pickPools(now)
	return short, long, steady, far, g.toAsk(now)
}

func (g *Gossip) pickLoads(now time.Time) []tlwire.InstanceLoad {
	var out []tlwire.InstanceLoad
	for _, n := range g.loads.NextToSend(maxLoads) {
		l, at, _ := g.loads.Get(n)
		l.Age = now.Sub(at)
		out = append(out, l)
	}
	return out
}

func (g *Gossip) pickPools(now time.Time) []tlwire.PoolSummary {
	var out []tlwire.PoolSummary
	for _, n := range g.pools.NextToSend(maxPools) {
		p, at, _ := g.pools.Get(n)
		p.Age = now.Sub(at)
		out = append(out, p)
	}
	return out
}

// toAsk picks some of the instances in doubt that are not being asked about.
func (g *Gossip) toAsk(now time.Time) []string {
	var out []string
	for _, n := range g.view.SuspectsToConfirm(now) {
		if len(out) == maxAsked {
			break
		}
		if !g.asked[n] {
			g.asked[n] = true
			out = append(out, n)
		}
	}
	return out
}

// ask asks a doubted instance itself, and where that fails those that hear
// from it at every heartbeat.
func (g *Gossip) ask(name string) {
	g.mesh.count(countDoubted)
	ctx, cancel := context.WithTimeout(g.mesh.ctx, g.mesh.o.SuspectAfter)
	defer cancel()
	g.mu.Lock()
	peers := append([]string{name}, g.view.Watchers(name)...)
	g.mu.Unlock()
	for _, p := range peers {
		if g.learn(ctx, p, name) {
			break
		}
	}
	g.mu.Lock()
	delete(g.asked, name)
	g.mu.Unlock()
}

// learn asks one peer and says whether it heard the instance a moment ago.
func (g *Gossip) learn(ctx context.Context, peer, name string) bool {
	ctx, cancel := context.WithTimeout(ctx, g.mesh.o.SuspectAfter/3)
	defer cancel()
	s, err := Call[tlwire.SightingCall, tlwire.Sighting](ctx, g.mesh, peer, kindAsk, tlwire.SightingCall{Name: name})
	if err != nil {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.view.ApplySighting(g.mesh.now(), s)
	return s.HeardAgo > 0 && s.HeardAgo < g.mesh.o.SuspectAfter
}
