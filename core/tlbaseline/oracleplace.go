package tlbaseline

import (
	"slices"
	"time"

	"trefoillanding/core/tlmodel"
	"trefoillanding/core/tlwire"
)

// look reads the exact state of the engines.
func (o *Oracle) look() {
	for _, l := range o.pools {
		for _, n := range l.prefills {
			o.lanes[n] = o.truth.Prefill(n).Backlog()
		}
		for _, n := range l.decodes {
			e := o.truth.Decode(n)
			o.reserved[n] = 0
			o.streams[n] = e.Running()
			o.releases[n] = e.Releases()
			o.links[n] = e.Link.Backlog()
		}
	}
	for _, p := range o.requests {
		if !p.arriving {
			continue
		}
		o.streams[p.decode]++
		if p.taken.IsZero() || o.now.Before(p.taken) {
			o.reserved[p.decode] += p.pieces
			o.links[p.decode] += o.moveTime(p)
		}
	}
}

// firstToken returns when the first token comes of a request whose prefill is
// ready at some time, if its link is free by then.
func (o *Oracle) firstToken(p *plan, ready time.Time) time.Time {
	return ready.Add(o.moveTime(p) + o.truth.Model.StepBase + gapTarget)
}

func (o *Oracle) moveTime(p *plan) time.Duration {
	m := o.truth.Model
	move := float64(p.PromptTokens+p.Delivered) * float64(m.BytesPerToken) / float64(m.LinkBytesPerSecond)
	return time.Duration(move * float64(time.Second))
}

// lane returns the prefill engine of a pool that would end a request's prefill first.
func (o *Oracle) lane(pool int, p *plan) (name string, ready time.Time) {
	for _, n := range o.pools[pool].prefills {
		e := o.truth.Prefill(n)
		if !e.Alive() {
			continue
		}
		t := o.now.Add(o.lanes[n] + e.Cost(p.PromptTokens+p.Delivered, p.Blocks))
		if name == "" || t.Before(ready) {
			name, ready = n, t
		}
	}
	return name, ready
}

// place starts a request, or keeps room for it if it can start in time later.
func (o *Oracle) place(p *plan) {
	var best option
	for i := range o.pools {
		if c := o.option(i, p); c.decode != "" && (best.decode == "" || c.first.Before(best.first)) {
			best = c
		}
	}
	if best.decode == "" {
		o.keep(p)
		return
	}
	busy := o.lanes[best.lane] > oracleTick
	o.lanes[best.lane] = best.ready.Sub(o.now)
	o.links[best.decode] += o.moveTime(p)
	o.reserved[best.decode] += p.pieces
	o.streams[best.decode]++
	if busy || (p.Delivered == 0 && best.first.After(p.Due)) {
		return
	}
	o.start(p, best)
}

// option is where a request might go.
type option struct {
	pool   int
	lane   string
	decode string
	ready  time.Time
	first  time.Time
}

func (o *Oracle) option(pool int, p *plan) option {
	lane, ready := o.lane(pool, p)
	if lane == "" {
		return option{}
	}
	c := option{pool: pool, lane: lane, ready: ready, decode: o.decodeAt(pool, p, ready)}
	free := o.now.Add(o.links[c.decode])
	if free.Before(ready) {
		free = ready
	}
	c.first = o.firstToken(p, free)
	return c
}

// keep keeps the room from others that the request will have just in time.
func (o *Oracle) keep(p *plan) {
	for i := range o.pools {
		lane, ready := o.lane(i, p)
		if lane == "" {
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

func (o *Oracle) start(p *plan, c option) {
	o.waiting = slices.DeleteFunc(o.waiting, func(q *plan) bool { return q == p })
	p.pool, p.decode, p.arriving = c.pool, c.decode, true
	o.served[p.Organisation] += p.cost / o.weights[p.Organisation]
	o.steps = append(o.steps, tlwire.Step{
		Request: p.Request,
		Attempt: p.attempt,
		Kind:    tlwire.StepKindStartPrefill,
		Engine:  c.lane,
		Pieces:  p.pieces,
	})
}

// decodeAt returns the decode engine of a pool whose link is free first at a
// time, or that has the most room, among those whose room suffices.
func (o *Oracle) decodeAt(pool int, p *plan, at time.Time) string {
	best, most := "", 0
	var least time.Duration
	for _, d := range o.pools[pool].decodes {
		free, ok := o.room(d, p, at)
		if !ok {
			continue
		}
		wait := max(o.links[d]-at.Sub(o.now), 0)
		if best == "" || wait < least || (wait == least && free > most) {
			best, least, most = d, wait, free
		}
	}
	return best
}

// room returns the pieces that a decode engine will have free at a time, and
// whether they suffice.
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
	return free, free >= p.pieces && tlmodel.StepTime(o.truth.Model, streams) <= gapTarget
}
