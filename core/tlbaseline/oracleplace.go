package tlbaseline

import (
	"slices"
	"time"

	"trefoillanding/core/tlmodel"
	"trefoillanding/core/tlwire"
)

// readEngines reads the exact state of the engines and adds the load of requests in flight.
func (o *Oracle) readEngines() {
	for _, l := range o.pools {
		for _, n := range l.prefills {
			o.prefillBacklogs[n] = o.truth.Prefill(n).Backlog()
		}
		for _, n := range l.decodes {
			e := o.truth.Decode(n)
			o.reserved[n] = 0
			o.streams[n] = e.Running()
			o.releases[n] = e.Releases()
			o.linkBacklogs[n] = e.Link.Backlog()
		}
	}
	for _, p := range o.requests {
		if !p.inFlight {
			continue
		}
		o.streams[p.decode]++
		if p.allocatedAt.IsZero() || o.now.Before(p.allocatedAt) {
			o.reserved[p.decode] += p.pieces
			o.linkBacklogs[p.decode] += o.transferTime(p)
		}
	}
}

// firstToken returns the time of the first token of a request whose prefill ends
// at ready, if its link is free by then.
func (o *Oracle) firstToken(p *plan, ready time.Time) time.Time {
	return ready.Add(o.transferTime(p) + o.truth.Model.StepBase + maxStepTime)
}

func (o *Oracle) transferTime(p *plan) time.Duration {
	m := o.truth.Model
	move := float64(p.PromptTokens+p.Delivered) * float64(m.BytesPerToken) / float64(m.LinkBytesPerSecond)
	return time.Duration(move * float64(time.Second))
}

// earliestPrefill returns the prefill engine of a pool that would end the prefill of a
// request first, and when.
func (o *Oracle) earliestPrefill(pool int, p *plan) (name string, ready time.Time) {
	for _, n := range o.pools[pool].prefills {
		e := o.truth.Prefill(n)
		if !e.Alive() {
			continue
		}
		t := o.now.Add(o.prefillBacklogs[n] + e.Cost(p.PromptTokens+p.Delivered, p.Blocks))
		if name == "" || t.Before(ready) {
			name, ready = n, t
		}
	}
	return name, ready
}

// place starts a request, or reserves capacity for it if it can start later and still be on time.
func (o *Oracle) place(p *plan) {
	var best placement
	for i := range o.pools {
		if c := o.placementIn(i, p); c.decode != "" && (best.decode == "" || c.first.Before(best.first)) {
			best = c
		}
	}
	if best.decode == "" {
		o.reserveUntilDue(p)
		return
	}
	busy := o.prefillBacklogs[best.prefill] > oracleTick
	o.prefillBacklogs[best.prefill] = best.ready.Sub(o.now)
	o.linkBacklogs[best.decode] += o.transferTime(p)
	o.reserved[best.decode] += p.pieces
	o.streams[best.decode]++
	if busy || (p.Delivered == 0 && best.first.After(p.Due)) {
		return
	}
	o.start(p, best)
}

// placement is a pair of engines that could serve a request, with the times of the
// end of its prefill and of its first token.
type placement struct {
	pool    int
	prefill string
	decode  string
	ready   time.Time
	first   time.Time
}

func (o *Oracle) placementIn(pool int, p *plan) placement {
	n, ready := o.earliestPrefill(pool, p)
	if n == "" {
		return placement{}
	}
	c := placement{pool: pool, prefill: n, ready: ready, decode: o.decodeAt(pool, p, ready)}
	free := o.now.Add(o.linkBacklogs[c.decode])
	if free.Before(ready) {
		free = ready
	}
	c.first = o.firstToken(p, free)
	return c
}

// reserveUntilDue reserves decode memory and a stream that will be free just in time for
// the request, so that no other request takes them.
func (o *Oracle) reserveUntilDue(p *plan) {
	for i := range o.pools {
		n, ready := o.earliestPrefill(i, p)
		if n == "" {
			continue
		}
		latest := p.Due.Add(-o.firstToken(p, ready).Sub(ready))
		if d := o.decodeAt(i, p, latest); d != "" {
			o.reserved[d] += p.pieces
			o.streams[d]++
			return
		}
	}
}

func (o *Oracle) start(p *plan, c placement) {
	o.waiting = slices.DeleteFunc(o.waiting, func(q *plan) bool { return q == p })
	p.pool, p.decode, p.inFlight = c.pool, c.decode, true
	o.served[p.Organisation] += p.cost / o.weights[p.Organisation]
	o.steps = append(o.steps, tlwire.Step{
		Request: p.Request,
		Attempt: p.attempt,
		Kind:    tlwire.StepKindStartPrefill,
		Engine:  c.prefill,
		Pieces:  p.pieces,
	})
}

// decodeAt returns the decode engine of a pool that has enough free memory at a
// time and whose link is free first; ties go to the most free memory.
func (o *Oracle) decodeAt(pool int, p *plan, at time.Time) string {
	best, most := "", 0
	var least time.Duration
	for _, d := range o.pools[pool].decodes {
		free, ok := o.room(d, p, at)
		if !ok {
			continue
		}
		wait := max(o.linkBacklogs[d]-at.Sub(o.now), 0)
		if best == "" || wait < least || (wait == least && free > most) {
			best, least, most = d, wait, free
		}
	}
	return best
}

// room returns the free pieces of a decode engine at a time, and whether the
// request fits there within the limit of a decode step.
func (o *Oracle) room(name string, p *plan, at time.Time) (int, bool) {
	e := o.truth.Decode(name)
	if !e.Alive() || e.Link.Stalled() {
		return 0, false
	}
	free := e.Free() - o.reserved[name]
	streams := o.streams[name] + 1
	for _, r := range o.releases[name] {
		if !r.At.After(at) {
			free += r.Pieces
			streams--
		}
	}
	return free, free >= p.pieces && tlmodel.StepTime(o.truth.Model, streams) <= maxStepTime
}
