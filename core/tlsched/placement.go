package tlsched

import (
	"slices"
	"time"

	"trefoillanding/core/tlwire"
)

// outcome says how an attempt to start a request ended.
type outcome int

const (
	started outcome = iota
	noPrefill
	noMemory
)

// Priorities that engines are given.
const (
	priorityLate   = 1
	priorityOnTime = 2
)

// place starts all work for which there is room.
func (s *Scheduler) place(now time.Time) {
	s.expire(now)
	s.demote(now)
	s.unclaim()
	s.fund(now)
	s.fillOldest(now)
	s.fillShare(now)
	s.fill(now, false, s.options.LookAhead)
	if s.queue.Len(false) == 0 && s.hasSpare(now) {
		s.fillSpare(now)
	}
}

// fillSpare starts late requests in memory that nobody else needs, and learns how much there is of it.
func (s *Scheduler) fillSpare(now time.Time) {
	before := s.queue.Total(true).Longest()
	s.fill(now, true, s.options.LookAhead)
	s.known.spare.Add(now, max(before-s.queue.Total(true).Longest(), 0))
}

func (s *Scheduler) expire(now time.Time) {
	for i := 0; i < len(s.unfunded); {
		r := s.unfunded[i]
		if r.stage != StageHeld || now.Before(r.heldUntil) {
			i++
			continue
		}
		s.retry(now, r, RetriedResultLapsed)
	}
}

func (s *Scheduler) unclaim() {
	for _, e := range s.order {
		e.claimed = 0
	}
}

// fund gives freed memory to those that bet on it, the one whose result lapses first going first.
func (s *Scheduler) fund(now time.Time) {
	h := s.heldFor()
	slices.SortStableFunc(s.unfunded, func(a, b *request) int { return a.expires(h).Compare(b.expires(h)) })
	left := s.unfunded[:0]
	for _, r := range s.unfunded {
		d := s.decodeFor(now, r)
		if d == nil {
			s.claim(now, r)
			left = append(left, r)
			continue
		}
		s.reserve(r, d)
		if r.stage == StageHeld {
			s.transfer(now, r)
		}
	}
	clear(s.unfunded[len(left):])
	s.unfunded = left
}

// fillOldest starts late requests that have waited for as long as any may.
func (s *Scheduler) fillOldest(now time.Time) {
	for {
		i := s.queue.PopOlder(now.Add(-s.bounds.QueueWait))
		if i == nil {
			return
		}
		if s.start(now, i.Value) != started {
			s.queue.Return(i)
			return
		}
	}
}

// fillShare starts late requests for as long as their lane has saved up its share.
func (s *Scheduler) fillShare(now time.Time) {
	for s.queue.LateDue() {
		if !s.fill(now, true, 1) {
			return
		}
	}
}

// fill starts requests of one lane and says whether it started any; some that
// find no memory may be overtaken.
func (s *Scheduler) fill(now time.Time, late bool, overtaken int) bool {
	s.blocked = s.blocked[:0]
	any := false
	for len(s.blocked) < overtaken {
		i := s.queue.Pop(late)
		if i == nil {
			break
		}
		o := s.start(now, i.Value)
		if o != started {
			s.blocked = append(s.blocked, i)
		}
		if o == noPrefill {
			break
		}
		any = any || o == started
	}
	for _, i := range s.blocked {
		s.queue.Return(i)
	}
	return any
}

func (s *Scheduler) start(now time.Time, r *request) outcome {
	p, work, expected := s.prefillFor(now, r)
	if p == nil {
		return noPrefill
	}
	if s.leavesTooLittle(r) {
		return noMemory
	}
	d := s.decodeFor(now, r)
	if d == nil && !s.mayBet(now, r, p.ready(now).Add(work)) {
		s.claim(now, r)
		return noMemory
	}
	if d != nil {
		s.reserve(r, d)
	} else {
		s.counts[PlacedOnBet]++
		s.unfunded = append(s.unfunded, r)
	}
	s.charge(r)
	r.stage = StagePrefilling
	r.prefill, r.work, r.expected = p, work, expected
	r.started = p.ready(now)
	p.beginPrefill(now, work)
	s.steps = append(s.steps, s.prefillStep(r))
	return started
}

func (s *Scheduler) prefillStep(r *request) tlwire.Step {
	t := r.step(tlwire.StepKindStartPrefill)
	t.Engine = r.prefill.name
	t.Pieces = r.pieces
	t.Priority = priorityOf(r)
	return t
}

func priorityOf(r *request) int {
	if r.item.Late() {
		return priorityLate
	}
	return priorityOnTime
}

func (s *Scheduler) charge(r *request) {
	i := &r.item
	r.charged = i.Cost
	s.queue.Charge(i.Organisation, i.Late(), i.Cost)
	if !i.Late() {
		s.counts[PlacedOnTime]++
	} else {
		s.counts[PlacedLate]++
	}
	if r.isFresh() {
		s.budget.Earn(s.prefillTime(r.PromptTokens).Seconds())
	}
}

func (s *Scheduler) reserve(r *request, d *engine) {
	n := s.need(r)
	if !d.memory.Hold(r.attempt, n) {
		return
	}
	r.decode = d
	r.pieces, r.counted = n, n
	s.shares.hold(r.Organisation, n)
	r.linked = s.bytes(r)
	d.link.Hold(r.linked)
	d.streams++
}

func (s *Scheduler) transfer(now time.Time, r *request) {
	r.stage = StageTransferring
	r.sent = now
	r.decode.imported += r.pieces
	r.decode.history.note(now, r.decode.imported)
	t := r.step(tlwire.StepKindStartTransfer)
	t.Engine = r.decode.name
	t.Pieces = r.pieces
	t.Priority = priorityOf(r)
	s.steps = append(s.steps, t)
}

// prefillFor returns the engine that would end the prefill first, how long it would work and how many blocks it should find.
func (s *Scheduler) prefillFor(now time.Time, r *request) (b *engine, work time.Duration, blocks float64) {
	m := s.match(r)
	var best time.Time
	for _, e := range s.order {
		if !e.prefillsToo() || !e.takesWork(now) || !s.takesPrefill(now, e) {
			continue
		}
		w := s.prefillTime(r.PromptTokens - int(m[e.number]*blockTokens))
		if t := e.ready(now).Add(w); b == nil || t.Before(best) {
			b, work, blocks, best = e, w, m[e.number], t
		}
	}
	return b, work, blocks
}

// takesPrefill says whether an engine is idle or so nearly idle that its next prefill should be on the way.
func (s *Scheduler) takesPrefill(now time.Time, e *engine) bool {
	if e.prefills == 0 {
		return true
	}
	return e.prefills < s.options.PrefillDepth && e.ready(now).Sub(now) <= s.options.PrefillLead
}

// decodeFor returns the engine with room for the request whose link and streams are least loaded, or nil.
func (s *Scheduler) decodeFor(now time.Time, r *request) *engine {
	n, limit, bytes := s.need(r), s.streamLimit(), s.bytes(r)
	var b *engine
	var least time.Duration
	for _, e := range s.order {
		if !e.decodesToo() || e.streams >= limit || e.available() < n || !e.takesWork(now) {
			continue
		}
		w := time.Duration(e.streams) * streamWeight
		if s.options.WeighLinks {
			w += e.link.TransferTime(bytes)
		}
		if b == nil || w < least {
			b, least = e, w
		}
	}
	return b
}

// streamWeight is how much longer a link may be busy on an engine with one stream less.
const streamWeight = time.Millisecond

// claim keeps the engine with most memory available from those that come after the request.
func (s *Scheduler) claim(now time.Time, r *request) {
	n := s.need(r)
	var b *engine
	for _, e := range s.order {
		if !e.decodesToo() || !e.takesWork(now) || e.memory.Total() < n {
			continue
		}
		if b == nil || e.available() > b.available() {
			b = e
		}
	}
	if b != nil {
		b.claimed += n
	}
}

// hasSpare says whether late requests may use memory that nobody else waits for.
func (s *Scheduler) hasSpare(_ time.Time) bool {
	if len(s.unfunded) > 0 || s.queue.Len(true) == 0 {
		return false
	}
	return s.freeShare() > 0
}
