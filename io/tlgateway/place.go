package tlgateway

import (
	"time"

	"github.com/sirupsen/logrus"

	"trefoillanding/core/tlendpoint"
	"trefoillanding/core/tlplace"
	"trefoillanding/core/tlverdict"
	"trefoillanding/io/tlbooking"
)

const (
	// usualPatience is how long callers wait for a first event at least.
	usualPatience = 2 * time.Second
	// patienceFactor is the multiple of the objective that they wait at least.
	patienceFactor = 4
	// gapPatienceFactor is the multiple of the longest pause that they wait at least.
	gapPatienceFactor = 8
)

// afford takes what another attempt sends from the budget of retries: one send
// where the decode engine reads the prompt itself, two with a prefill before it.
func (g *generation) afford(p *place) *tlverdict.Error {
	if g.decodes == 0 {
		return nil
	}
	b := g.x.g.d.Budget
	if p.usesRead {
		return g.spend()
	}
	if p.isSplit && b.Spend(g.x.service.Name, 2) {
		return nil
	}
	p.isSplit = false
	return g.spend()
}

// spend takes one send from the budget of retries.
func (g *generation) spend() *tlverdict.Error {
	if g.x.g.d.Budget.Spend(g.x.service.Name, 1) {
		return nil
	}
	g.x.g.d.Count(BudgetSpent)
	e := tlverdict.New(tlverdict.TooManyRequests, "the budget of retries is spent: %v", g.failure)
	return g.ended(e.WithRetryAfter(fullRetryAfter))
}

// place is where a generation runs.
type place struct {
	prefill tlendpoint.Endpoint
	decode  tlendpoint.Endpoint
	isSplit bool
	// usesRead says that the prompt was read for an earlier attempt.
	usesRead bool
}

// place asks for endpoints with room.
func (g *generation) place() (place, *tlverdict.Error) {
	if g.x.service.Engine == nil || g.x.call.PromptTokens == 0 {
		return g.pick()
	}
	x := g.x
	d, err := x.g.d.Reservations.Reserve(g.ctx, x.service.Name, g.placeRequest())
	if err != nil {
		return place{}, g.ended(tlverdict.Of(err))
	}
	x.step("placed", logrus.Fields{
		"Prefill":  d.Prefill,
		"Decode":   d.Decode,
		"Tokens":   d.Tokens,
		"Refused":  d.Refused.String(),
		"WaitedMs": d.Waited.Milliseconds(),
	})
	if d.Refused != tlplace.NotRefused {
		return place{}, refusalOf(d)
	}
	g.hasPlace = true
	return g.resolve(d)
}

// pick chooses an endpoint for a stream of a service without engines.
func (g *generation) pick() (place, *tlverdict.Error) {
	x := g.x
	e, ok := x.g.d.Directory.Pick(x.g.d.Now(), x.service.Name, g.avoid, g.mayResume())
	if !ok {
		return place{}, tlverdict.New(tlverdict.NoEndpoint, "no endpoint of service %s can be used", x.service.Name).WithRetryAfter(fullRetryAfter)
	}
	return place{decode: e}, nil
}

// resolve finds the engines of a decision in this instance's own list.
func (g *generation) resolve(d tlplace.Decision) (place, *tlverdict.Error) {
	p := place{usesRead: d.ReusesPrefill}
	var ok bool
	if p.decode, ok = g.x.g.d.Directory.Find(d.Decode); !ok {
		g.fail(d.Decode)
		g.decodes++
		return g.place()
	}
	if d.Prefill != "" {
		p.prefill, p.isSplit = g.x.g.d.Directory.Find(d.Prefill)
	}
	if d.Prefill != "" && !p.isSplit {
		g.report(tlbooking.PrefillFailed, d.Prefill)
	}
	return p, nil
}

func (g *generation) placeRequest() tlplace.Request {
	x := g.x
	r := x.route
	from := x.arrived
	due := from.Add(r.Objective)
	if g.begun {
		from = x.g.d.Now()
		due = from.Add(r.GapObjective)
	}
	giveUp := from.Add(max(usualPatience, patienceFactor*r.Objective, gapPatienceFactor*r.GapObjective))
	if giveUp.After(x.until) {
		giveUp = x.until
	}
	return tlplace.Request{
		ID:       x.call.ID,
		Prompt:   x.call.PromptTokens,
		Output:   x.call.ExpectedTokens(),
		Rank:     r.Rank,
		Due:      due,
		GiveUp:   giveUp,
		Deadline: x.until,
		// The zero time stands for a prompt that was not read.
		PrefillKeptUntil: g.keptUntil,
		HasBegun:         g.begun,
		Avoid:            g.avoid,
	}
}

func refusalOf(d tlplace.Decision) *tlverdict.Error {
	switch d.Refused {
	case tlplace.TooLarge:
		return tlverdict.New(tlverdict.PoolBusy, "the request is larger than an engine's memory").WithRetryAfter(d.RetryAfter)
	case tlplace.NoEngines:
		return tlverdict.New(tlverdict.NoEndpoint, "no engine can be used").WithRetryAfter(d.RetryAfter)
	}
	return tlverdict.New(tlverdict.WaitTooLong, "no engine has room before the caller leaves").WithRetryAfter(d.RetryAfter)
}

// fail gives a place up that an engine failed.
func (g *generation) fail(engine string) {
	g.giveUp(engine, tlbooking.DecodeFailed)
}

// giveUp gives a place up for what an engine did.
func (g *generation) giveUp(engine string, e tlbooking.Event) {
	g.avoid = append(g.avoid, engine)
	if g.hasPlace {
		g.hasPlace = false
		g.report(e, engine)
	}
}

// served frees the place of an answer that is complete.
func (g *generation) served() {
	if g.hasPlace {
		g.hasPlace = false
		g.report(tlbooking.Completed, "")
	}
}

// leave frees the place.
func (g *generation) leave() {
	if g.hasPlace {
		g.hasPlace = false
		g.report(tlbooking.Ended, "")
	}
}

func (g *generation) report(e tlbooking.Event, engine string) {
	g.x.g.d.Reservations.Report(g.x.service.Name, g.x.call.ID, e, engine)
}
