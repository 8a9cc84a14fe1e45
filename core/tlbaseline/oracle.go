package tlbaseline

import (
	"fmt"
	"slices"
	"time"

	"trefoillanding/core/tlmodel"
	"trefoillanding/core/tlsched"
	"trefoillanding/core/tlverdict"
	"trefoillanding/core/tlwire"
)

const (
	// oracleTick is how often an oracle looks again at what waits.
	oracleTick = 5 * time.Millisecond
	// gapTarget is the longest decode step that an oracle allows.
	gapTarget = 30 * time.Millisecond
)

// Oracle knows the true lengths of answers and the exact state of all engines,
// caches and links, but not the future arrivals, faults and cancellations. It
// starts a request only when its first token will be in time, and refuses it
// as soon as that can't be.
type Oracle struct {
	truth Truth
	order func(*Oracle, *plan, *plan) int
	pools []poolEngines
	// largest is the cost above which requests are refused at once; 0 for no bound.
	largest  float64
	weights  map[string]float64
	served   map[string]float64
	requests map[string]*plan
	waiting  []*plan
	held     []*plan
	steps    []tlwire.Step
	now      time.Time
	reserved map[string]int
	streams  map[string]int
	lanes    map[string]time.Duration
	links    map[string]time.Duration
	releases map[string][]tlmodel.Release
}

// plan is what an oracle knows of a request.
type plan struct {
	tlwire.Submission
	number  int
	attempt string
	pieces  int
	cost    float64
	pool    int
	decode  string
	// arriving says that the request is on its way to its decode engine.
	arriving bool
	// taken is when the import has taken its memory; zero before it starts.
	taken time.Time
}

func newOracle(p tlwire.Pool, l []tlwire.Organisation, t Truth, order func(*Oracle, *plan, *plan) int) *Oracle {
	o := &Oracle{
		truth:    t,
		order:    order,
		weights:  make(map[string]float64),
		served:   make(map[string]float64),
		requests: make(map[string]*plan),
		reserved: make(map[string]int),
		streams:  make(map[string]int),
		lanes:    make(map[string]time.Duration),
		links:    make(map[string]time.Duration),
		releases: make(map[string][]tlmodel.Release),
	}
	o.pools = byPool(p)
	for _, g := range l {
		o.weights[g.Name] = max(g.Weight, 1)
	}
	return o
}

// Policy returns the oracle as a policy.
func (o *Oracle) Policy() Policy {
	return Policy{
		Submit:      o.submit,
		Report:      o.report,
		Load:        func(time.Time, tlwire.LoadReport) []tlwire.Step { return nil },
		CacheEvents: func(time.Time, string, tlwire.CacheEvents) {},
		Engine:      func(time.Time, string, tlsched.EngineState) []tlwire.Step { return nil },
		Tick:        o.tick,
		Next:        o.next,
		Summary:     func(time.Time) tlwire.PoolSummary { return tlwire.PoolSummary{} },
		Count:       func(func(string, uint64)) {},
	}
}

func (o *Oracle) submit(now time.Time, s tlwire.Submission) []tlwire.Step {
	m := o.truth.Model
	tokens := s.PromptTokens + o.truth.Output(s.Request)
	p := &plan{Submission: s, pieces: tlmodel.Pieces(m, tokens)}
	p.cost = float64(p.pieces * o.truth.Output(s.Request))
	if o.largest > 0 && p.cost > o.largest {
		return []tlwire.Step{p.refusal()}
	}
	o.requests[s.Request] = p
	o.enqueue(p)
	return o.tick(now)
}

func (o *Oracle) enqueue(p *plan) {
	p.number++
	p.attempt = fmt.Sprintf("%s/%d", p.Request, p.number)
	p.decode = ""
	p.taken = time.Time{}
	o.waiting = append(o.waiting, p)
}

func (o *Oracle) report(now time.Time, r tlwire.Report) []tlwire.Step {
	p := o.requests[r.Request]
	if p == nil || (r.Attempt != p.attempt && r.Kind != tlwire.ReportKindCancelled) {
		return nil
	}
	switch r.Kind {
	case tlwire.ReportKindProgress:
		return nil
	case tlwire.ReportKindCancelled, tlwire.ReportKindFinished:
		o.forget(p)
		delete(o.requests, p.Request)
	case tlwire.ReportKindPrefillDone:
		o.held = append(o.held, p)
	case tlwire.ReportKindTransferDone:
		p.arriving = false
	case tlwire.ReportKindTransferFailed, tlwire.ReportKindTransferStalled:
		o.transferFailed(p, r)
	case tlwire.ReportKindPrefillFailed, tlwire.ReportKindDecodeFailed:
		p.Delivered = max(p.Delivered, r.Tokens)
		o.restart(p)
	}
	return o.tick(now)
}

func (o *Oracle) transferFailed(p *plan, r tlwire.Report) {
	if r.Reason == tlmodel.ReasonUnknown || r.Reason == tlmodel.ReasonLapsed {
		o.restart(p)
		return
	}
	p.arriving = false
	p.taken = time.Time{}
	p.decode = ""
	o.held = append(o.held, p)
}

func (o *Oracle) restart(p *plan) {
	o.steps = append(o.steps, tlwire.Step{Request: p.Request, Attempt: p.attempt, Kind: tlwire.StepKindAbandon})
	o.forget(p)
	o.enqueue(p)
}

func (o *Oracle) forget(p *plan) {
	p.arriving = false
	o.waiting = slices.DeleteFunc(o.waiting, func(q *plan) bool { return q == p })
	o.held = slices.DeleteFunc(o.held, func(q *plan) bool { return q == p })
}

func (o *Oracle) next() time.Time {
	if len(o.waiting)+len(o.held) == 0 {
		return time.Time{}
	}
	return o.now.Add(oracleTick)
}

func (o *Oracle) tick(now time.Time) []tlwire.Step {
	o.now = now
	o.look()
	o.moveHeld()
	slices.SortStableFunc(o.waiting, func(p, q *plan) int { return o.order(o, p, q) })
	o.dropLate()
	for _, p := range slices.Clone(o.waiting) {
		o.place(p)
	}
	s := o.steps
	o.steps = nil
	return s
}

func (o *Oracle) moveHeld() {
	l := o.held
	o.held = nil
	for _, p := range l {
		if !o.move(p) {
			o.held = append(o.held, p)
		}
	}
}

// move starts the transfer to the engine where memory was reserved, or to
// another one that has room.
func (o *Oracle) move(p *plan) bool {
	d := p.decode
	if !p.arriving || !o.hasRoom(p) {
		if d = o.decodeAt(p.pool, p, o.now); d == "" {
			return false
		}
	}
	if p.arriving {
		o.reserved[p.decode] -= p.pieces
		o.streams[p.decode]--
	}
	p.decode, p.arriving = d, true
	p.taken = o.now.Add(2 * o.truth.Model.RemoteDelay)
	o.reserved[d] += p.pieces
	o.streams[d]++
	o.steps = append(o.steps, tlwire.Step{
		Request: p.Request,
		Attempt: p.attempt,
		Kind:    tlwire.StepKindStartTransfer,
		Engine:  d,
		Pieces:  p.pieces,
	})
	return true
}

// hasRoom says that the memory reserved for a request is free by now.
func (o *Oracle) hasRoom(p *plan) bool {
	e := o.truth.Decode(p.decode)
	if !e.Alive() || e.Link.Stalled() {
		return false
	}
	free := e.Free()
	for _, q := range o.requests {
		if q.decode == p.decode && q.arriving && o.now.Before(q.taken) {
			free -= q.pieces
		}
	}
	return free >= p.pieces
}

// dropLate refuses what would be late even if nothing else waited.
func (o *Oracle) dropLate() {
	o.waiting = slices.DeleteFunc(o.waiting, func(p *plan) bool {
		if p.Delivered > 0 {
			return false
		}
		for i := range o.pools {
			if n, ready := o.lane(i, p); n != "" && !o.firstToken(p, ready).After(p.Due) {
				return false
			}
		}
		delete(o.requests, p.Request)
		o.steps = append(o.steps, p.refusal())
		return true
	})
}

func (p *plan) refusal() tlwire.Step {
	return tlwire.Step{
		Request:    p.Request,
		Attempt:    p.attempt,
		Kind:       tlwire.StepKindRefuse,
		Reason:     string(tlverdict.WaitTooLong),
		RetryAfter: time.Second,
	}
}
