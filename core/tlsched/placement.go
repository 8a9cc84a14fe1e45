package tlsched

import (
	"slices"
	"time"

	"trefoillanding/core/tlwire"
)

// outcome is the result of an attempt to start a request.
type outcome int

const (
	started outcome = iota
	noPrefillEngine
	noDecodeMemory
)

// Priorities that engines are given.
const (
	priorityLate   = 1
	priorityOnTime = 2
)

// place starts all work for which there is room.
func (s *Scheduler) place(now time.Time) {
	s.retryExpired(now)
	s.demote(now)
	s.clearClaims()
	s.assignMemory(now)
	s.fillOldest(now)
	s.fillShare(now)
	s.fill(now, false, s.options.LookAhead)
	if s.queue.Len(false) == 0 && s.hasSpare(now) {
		s.fillSpare(now)
	}
}

// fillSpare starts late requests in memory that no other request needs, and measures the rate of such work.
func (s *Scheduler) fillSpare(now time.Time) {
	before := s.queue.Total(true).Bottleneck()
	s.fill(now, true, s.options.LookAhead)
	s.estimates.spareRate.Add(now, max(before-s.queue.Total(true).Bottleneck(), 0))
}

func (s *Scheduler) retryExpired(now time.Time) {
	for i := 0; i < len(s.awaitingMemory); {
		r := s.awaitingMemory[i]
		if r.stage != StageHeld || now.Before(r.heldUntil) {
			i++
			continue
		}
		s.retry(now, r, RetriedResultLapsed)
	}
}

func (s *Scheduler) clearClaims() {
	for _, e := range s.engineList {
		e.claimedPieces = 0
	}
}

// assignMemory reserves free memory for started requests that have none reserved, in
// the order in which their prefill results expire.
func (s *Scheduler) assignMemory(now time.Time) {
	h := s.heldFor()
	slices.SortStableFunc(s.awaitingMemory, func(a, b *request) int { return a.expires(h).Compare(b.expires(h)) })
	left := s.awaitingMemory[:0]
	for _, r := range s.awaitingMemory {
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
	clear(s.awaitingMemory[len(left):])
	s.awaitingMemory = left
}

// fillOldest starts late requests that arrived more than the maximum queue wait ago.
func (s *Scheduler) fillOldest(now time.Time) {
	for {
		i := s.queue.PopLateArrivedBefore(now.Add(-s.bounds.QueueWait))
		if i == nil {
			return
		}
		if s.start(now, i.Value) != started {
			s.queue.Return(i)
			return
		}
	}
}

// fillShare starts late requests while the late lane has credit from its share.
func (s *Scheduler) fillShare(now time.Time) {
	for s.queue.LateLaneDue() {
		if !s.fill(now, true, 1) {
			return
		}
	}
}

// fill starts requests of one lane and reports whether it started any. It stops when
// no prefill engine is free or when the given number of requests could not start.
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
		if o == noPrefillEngine {
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
		return noPrefillEngine
	}
	if s.violatesShareReserve(r) {
		return noDecodeMemory
	}
	d := s.decodeFor(now, r)
	if d == nil && !s.maySpeculate(now, r, p.readyAt(now).Add(work)) {
		s.claim(now, r)
		return noDecodeMemory
	}
	if d != nil {
		s.reserve(r, d)
	} else {
		s.counts[PlacedOnBet]++
		s.awaitingMemory = append(s.awaitingMemory, r)
	}
	s.charge(r)
	r.stage = StagePrefilling
	r.prefill, r.prefillWork, r.expectedBlocks = p, work, expected
	r.prefillStart = p.readyAt(now)
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
	r.chargedCost = i.Cost
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
	n := s.neededPieces(r)
	if !d.memory.Reserve(r.attempt, n) {
		return
	}
	r.decode = d
	r.pieces, r.sharePieces = n, n
	s.shares.hold(r.Organisation, n)
	r.linkBytes = s.cacheBytes(r)
	d.link.Reserve(r.linkBytes)
	d.streams++
}

func (s *Scheduler) transfer(now time.Time, r *request) {
	r.stage = StageTransferring
	r.transferStart = now
	r.decode.importedPieces += r.pieces
	r.decode.history.record(now, r.decode.importedPieces)
	t := r.step(tlwire.StepKindStartTransfer)
	t.Engine = r.decode.name
	t.Pieces = r.pieces
	t.Priority = priorityOf(r)
	s.steps = append(s.steps, t)
}

// prefillFor returns the engine that would finish the prefill first, the predicted
// duration of the prefill, and the number of prompt blocks that the engine probably
// caches.
func (s *Scheduler) prefillFor(now time.Time, r *request) (b *engine, work time.Duration, blocks float64) {
	m := s.cachedBlocks(r)
	var best time.Time
	for _, e := range s.engineList {
		if !e.canPrefill() || !e.takesWork(now) || !s.takesPrefill(now, e) {
			continue
		}
		w := s.prefillTime(r.PromptTokens - int(m[e.prefixNumber]*blockTokens))
		if t := e.readyAt(now).Add(w); b == nil || t.Before(best) {
			b, work, blocks, best = e, w, m[e.prefixNumber], t
		}
	}
	return b, work, blocks
}

// takesPrefill reports whether an engine is idle, or so nearly idle that it should be sent its next prefill.
func (s *Scheduler) takesPrefill(now time.Time, e *engine) bool {
	if e.queuedPrefills == 0 {
		return true
	}
	return e.queuedPrefills < s.options.PrefillDepth && e.readyAt(now).Sub(now) <= s.options.PrefillLead
}

// decodeFor returns the engine with room for the request whose link and streams are least loaded, or nil.
func (s *Scheduler) decodeFor(now time.Time, r *request) *engine {
	n, limit, bytes := s.neededPieces(r), s.streamLimit(), s.cacheBytes(r)
	var b *engine
	var least time.Duration
	for _, e := range s.engineList {
		if !e.canDecode() || e.streams >= limit || e.availablePieces() < n || !e.takesWork(now) {
			continue
		}
		w := time.Duration(e.streams) * streamLinkPenalty
		if s.options.WeighLinks {
			w += e.link.TransferTime(bytes)
		}
		if b == nil || w < least {
			b, least = e, w
		}
	}
	return b
}

// streamLinkPenalty is the link time that one more stream counts as when decode engines are compared.
const streamLinkPenalty = time.Millisecond

// claim sets memory aside for the request on the engine with most available, so that
// requests after it don't take it.
func (s *Scheduler) claim(now time.Time, r *request) {
	n := s.neededPieces(r)
	var b *engine
	for _, e := range s.engineList {
		if !e.canDecode() || !e.takesWork(now) || e.memory.Total() < n {
			continue
		}
		if b == nil || e.availablePieces() > b.availablePieces() {
			b = e
		}
	}
	if b != nil {
		b.claimedPieces += n
	}
}

// hasSpare reports whether late requests may use memory that no other request waits for.
func (s *Scheduler) hasSpare(_ time.Time) bool {
	if len(s.awaitingMemory) > 0 || s.queue.Len(true) == 0 {
		return false
	}
	return s.freeShare() > 0
}
