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
	// oracleTick is the interval at which an oracle reconsiders waiting and held requests.
	oracleTick = 5 * time.Millisecond
	// maxStepTime is the maximum duration of a decode step that an oracle plans for.
	maxStepTime = 30 * time.Millisecond
)

// Oracle is a policy that knows the true lengths of answers and the exact state
// of all engines, caches and links, but not future arrivals, faults and
// cancellations. It starts a request only when its first token will be on time,
// and refuses it as soon as that is impossible.
type Oracle struct {
	truth Truth
	order func(*Oracle, *plan, *plan) int
	pools []poolEngines
	// maxCost is the cost above which a request is refused on submission; 0 means no limit.
	maxCost         float64
	weights         map[string]float64
	served          map[string]float64
	requests        map[string]*plan
	waiting         []*plan
	held            []*plan
	steps           []tlwire.Step
	now             time.Time
	reserved        map[string]int
	streams         map[string]int
	prefillBacklogs map[string]time.Duration
	linkBacklogs    map[string]time.Duration
	releases        map[string][]tlmodel.Release
}

// plan is the state of a request at an oracle.
type plan struct {
	tlwire.Submission
	number  int
	attempt string
	pieces  int
	cost    float64
	pool    int
	decode  string
	// inFlight is true from the start of the prefill until the transfer to the decode engine ends.
	inFlight bool
	// allocatedAt is when the decode engine will have allocated the memory for the import;
	// zero before the transfer starts.
	allocatedAt time.Time
}

func newOracle(p tlwire.Pool, l []tlwire.Organisation, t Truth, order func(*Oracle, *plan, *plan) int) *Oracle {
	o := &Oracle{
		truth:           t,
		order:           order,
		weights:         make(map[string]float64),
		served:          make(map[string]float64),
		requests:        make(map[string]*plan),
		reserved:        make(map[string]int),
		streams:         make(map[string]int),
		prefillBacklogs: make(map[string]time.Duration),
		linkBacklogs:    make(map[string]time.Duration),
		releases:        make(map[string][]tlmodel.Release),
	}
	o.pools = byPool(p)
	for _, g := range l {
		o.weights[g.Name] = max(g.Weight, 1)
	}
	return o
}

// Policy returns the functions of the oracle as a Policy.
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
	if o.maxCost > 0 && p.cost > o.maxCost {
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
	p.allocatedAt = time.Time{}
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
		p.inFlight = false
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
	p.inFlight = false
	p.allocatedAt = time.Time{}
	p.decode = ""
	o.held = append(o.held, p)
}

func (o *Oracle) restart(p *plan) {
	o.steps = append(o.steps, tlwire.Step{Request: p.Request, Attempt: p.attempt, Kind: tlwire.StepKindAbandon})
	o.forget(p)
	o.enqueue(p)
}

func (o *Oracle) forget(p *plan) {
	p.inFlight = false
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
	o.readEngines()
	o.transferHeld()
	slices.SortStableFunc(o.waiting, func(p, q *plan) int { return o.order(o, p, q) })
	o.refuseLate()
	for _, p := range slices.Clone(o.waiting) {
		o.place(p)
	}
	s := o.steps
	o.steps = nil
	return s
}

func (o *Oracle) transferHeld() {
	l := o.held
	o.held = nil
	for _, p := range l {
		if !o.startTransfer(p) {
			o.held = append(o.held, p)
		}
	}
}

// startTransfer starts the transfer to the engine where memory was reserved, or to another
// one that has enough free memory, and reports whether it did.
func (o *Oracle) startTransfer(p *plan) bool {
	d := p.decode
	if !p.inFlight || !o.hasRoom(p) {
		if d = o.decodeAt(p.pool, p, o.now); d == "" {
			return false
		}
	}
	if p.inFlight {
		o.reserved[p.decode] -= p.pieces
		o.streams[p.decode]--
	}
	p.decode, p.inFlight = d, true
	p.allocatedAt = o.now.Add(2 * o.truth.Model.RemoteDelay)
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

// hasRoom reports whether the decode engine of a request has enough free memory for it
// now, apart from the memory of transfers that have started but not yet allocated it.
func (o *Oracle) hasRoom(p *plan) bool {
	e := o.truth.Decode(p.decode)
	if !e.Alive() || e.Link.Stalled() {
		return false
	}
	free := e.Free()
	for _, q := range o.requests {
		if q.decode == p.decode && q.inFlight && o.now.Before(q.allocatedAt) {
			free -= q.pieces
		}
	}
	return free >= p.pieces
}

// refuseLate refuses requests that would miss their target even if no other request waited.
func (o *Oracle) refuseLate() {
	o.waiting = slices.DeleteFunc(o.waiting, func(p *plan) bool {
		if p.Delivered > 0 {
			return false
		}
		for i := range o.pools {
			if n, ready := o.earliestPrefill(i, p); n != "" && !o.firstToken(p, ready).After(p.Due) {
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
