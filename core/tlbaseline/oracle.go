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
	truth    Truth
	order    func(*Oracle, *plan, *plan) int
	prefills []string
	decodes  []string
	weights  map[string]float64
	served   map[string]float64
	level    float64
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
	for _, e := range p.Engines {
		if e.Role == tlwire.RolePrefill {
			o.prefills = append(o.prefills, e.Name)
			continue
		}
		o.decodes = append(o.decodes, e.Name)
	}
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

// look reads the exact state of the engines.
func (o *Oracle) look() {
	for _, d := range o.decodes {
		e := o.truth.Decode(d)
		o.reserved[d] = 0
		o.streams[d] = e.Running()
		o.releases[d] = e.Releases()
		o.links[d] = e.Link.Backlog()
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
	for _, n := range o.prefills {
		o.lanes[n] = o.truth.Prefill(n).Backlog()
	}
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
		if d = o.decodeAt(p, o.now); d == "" {
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
		if _, ready := o.lane(p); !o.firstToken(p, ready).After(p.Due) {
			return false
		}
		delete(o.requests, p.Request)
		o.steps = append(o.steps, tlwire.Step{
			Request:    p.Request,
			Attempt:    p.attempt,
			Kind:       tlwire.StepKindRefuse,
			Reason:     string(tlverdict.WaitTooLong),
			RetryAfter: time.Second,
		})
		return true
	})
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

// lane returns the prefill engine that would end the request's prefill first.
func (o *Oracle) lane(p *plan) (name string, ready time.Time) {
	for _, n := range o.prefills {
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
	lane, ready := o.lane(p)
	if lane == "" {
		return
	}
	d := o.decodeAt(p, ready)
	if d == "" {
		o.keep(p, ready)
		return
	}
	busy := o.lanes[lane] > oracleTick
	free := o.now.Add(o.links[d])
	if free.Before(ready) {
		free = ready
	}
	o.lanes[lane] = ready.Sub(o.now)
	o.links[d] += o.moveTime(p)
	o.reserved[d] += p.pieces
	o.streams[d]++
	if busy || (p.Delivered == 0 && o.firstToken(p, free).After(p.Due)) {
		return
	}
	o.start(p, lane, d)
}

// keep keeps the room from others that the request will have just in time.
func (o *Oracle) keep(p *plan, ready time.Time) {
	latest := p.Due.Add(-o.firstToken(p, ready).Sub(ready))
	if d := o.decodeAt(p, latest); d != "" {
		o.reserved[d] += p.pieces
		o.streams[d]++
	}
}

func (o *Oracle) start(p *plan, lane, d string) {
	o.waiting = slices.DeleteFunc(o.waiting, func(q *plan) bool { return q == p })
	p.decode, p.arriving = d, true
	o.level = max(o.level, o.served[p.Organisation])
	o.served[p.Organisation] += p.cost / o.weights[p.Organisation]
	o.steps = append(o.steps, tlwire.Step{
		Request: p.Request,
		Attempt: p.attempt,
		Kind:    tlwire.StepKindStartPrefill,
		Engine:  lane,
		Pieces:  p.pieces,
	})
}

// decodeAt returns the decode engine whose link is free first at a time, or
// that has the most room, among those whose room suffices.
func (o *Oracle) decodeAt(p *plan, at time.Time) string {
	best := ""
	most := 0
	var least time.Duration
	for _, d := range o.decodes {
		e := o.truth.Decode(d)
		if !e.Alive() || e.Link.Stalled() {
			continue
		}
		free := e.Free() - o.reserved[d]
		streams := o.streams[d] + 1
		for _, r := range o.releases[d] {
			if !r.At.After(at) {
				free += r.Pieces
				streams--
			}
		}
		if free < p.pieces || tlmodel.StepTime(o.truth.Model, streams) > gapTarget {
			continue
		}
		wait := max(o.links[d]-at.Sub(o.now), 0)
		if best == "" || wait < least || (wait == least && free > most) {
			best, least, most = d, wait, free
		}
	}
	return best
}

// byFairness puts resumed requests first, then those of the organisation least
// served by its weight, then the most urgent.
func byFairness(o *Oracle, p, q *plan) int {
	if p.Delivered > 0 != (q.Delivered > 0) {
		return q.Delivered - p.Delivered
	}
	if p.Organisation != q.Organisation {
		v, w := o.served[p.Organisation], o.served[q.Organisation]
		if v != w {
			return sign(v - w)
		}
	}
	return p.Due.Compare(q.Due)
}

// bySize puts resumed requests first, then those that take the least memory and time.
func bySize(_ *Oracle, p, q *plan) int {
	if p.Delivered > 0 != (q.Delivered > 0) {
		return q.Delivered - p.Delivered
	}
	return sign(p.cost - q.cost)
}

func sign(v float64) int {
	switch {
	case v < 0:
		return -1
	case v > 0:
		return 1
	default:
		return 0
	}
}
