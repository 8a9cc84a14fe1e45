package tlsched

import (
	"slices"
	"strings"
	"time"

	"trefoillanding/core/tlverdict"
	"trefoillanding/core/tlwire"
)

var cancelCounters = [...]Counter{
	StageWaiting:      CancelledWaiting,
	StagePrefilling:   CancelledPrefilling,
	StageHeld:         CancelledHeld,
	StageTransferring: CancelledTransferring,
	StageDecoding:     CancelledDecoding,
}

func (s *Scheduler) cancel(now time.Time, r *request) {
	s.counts[cancelCounters[r.stage]]++
	if r.stage != StageWaiting {
		s.abandon(r)
	}
	s.end(now, r)
}

// abandon tells the owner to cancel the current attempt at the engines.
func (s *Scheduler) abandon(r *request) {
	if r.stage == StageHeld || r.stage == StageTransferring {
		s.counts[PrefillWasted]++
	}
	s.steps = append(s.steps, r.step(tlwire.StepKindAbandon))
}

// end forgets a request and gives back all that it holds.
func (s *Scheduler) end(now time.Time, r *request) {
	s.release(now, r)
	delete(s.requests, r.Request)
}

// release gives back all that the current attempt holds.
func (s *Scheduler) release(now time.Time, r *request) {
	s.leavePrefill(now, r)
	s.leaveDecode(now, r)
	s.queue.Remove(&r.item)
	if i := slices.Index(s.unfunded, r); i >= 0 {
		s.unfunded = slices.Delete(s.unfunded, i, i+1)
	}
	r.source, r.bytes = nil, 0
}

func (s *Scheduler) leavePrefill(now time.Time, r *request) {
	if r.prefill == nil {
		return
	}
	r.prefill.endPrefill(now, r.work)
	r.source = r.prefill
	r.prefill = nil
}

func (s *Scheduler) leaveDecode(now time.Time, r *request) {
	e := r.decode
	if e == nil {
		return
	}
	n := e.memory.Release(r.attempt)
	s.shares.release(r.Organisation, r.counted)
	r.counted = 0
	s.unlink(r)
	e.streams--
	if r.stage == StageTransferring || r.stage == StageDecoding {
		e.imported -= n
	}
	if r.stage == StageDecoding {
		s.known.freed.Add(now, float64(n))
		average(&s.known.freedEach, float64(n))
	}
	r.decode = nil
	r.pieces = 0
}

func (s *Scheduler) unlink(r *request) {
	r.decode.link.Release(r.linked)
	r.linked = 0
}

// retry queues the request again as a new attempt, among the late if the budget is spent.
func (s *Scheduler) retry(now time.Time, r *request, c Counter) {
	s.counts[c]++
	s.abandon(r)
	due := r.Due
	if r.stage == StageDecoding {
		due = now.Add(s.targets.FirstToken)
	}
	s.release(now, r)
	if r.number-r.Tries >= s.options.MaxAttempts {
		s.refuse(now, r, RefusedRetriesSpent, tlverdict.RetriesSpent, time.Second)
		delete(s.requests, r.Request)
		return
	}
	r.nextAttempt()
	r.stage = StageWaiting
	s.prepare(now, r, due)
	if s.options.RetryBudget && !s.budget.Spend(s.prefillTime(r.PromptTokens).Seconds()) {
		s.counts[DelayedRetry]++
		r.item.StartDeadline = now.Add(-1)
	}
	s.queue.Push(now, &r.item)
}

// unreserve moves reservations away from an engine that gets no new work.
func (s *Scheduler) unreserve(e *engine) {
	for _, r := range s.sorted() {
		if r.decode == e && r.stage == StagePrefilling {
			s.leaveDecode(s.last, r)
			s.unfunded = append(s.unfunded, r)
		}
	}
}

// failOver takes work away from an engine that is gone; a transfer to it is left
// to its owner's report, since a second one at once could not be told from it.
func (s *Scheduler) failOver(now time.Time, e *engine) {
	s.unreserve(e)
	for _, r := range s.sorted() {
		lost := r.prefill == e || (r.source == e && r.stage != StageDecoding)
		if lost || (r.decode == e && r.stage == StageDecoding) {
			r.deliver(r.tokens)
			s.retry(now, r, RetriedEngineGone)
		}
	}
}

// turnAway refuses what waits when the pool has lost its last engine of a kind;
// the owner of a request that has begun goes on with it elsewhere.
func (s *Scheduler) turnAway(now time.Time) {
	if s.capacity.prefills > 0 && s.capacity.decodes > 0 {
		return
	}
	for _, r := range s.sorted() {
		if r.stage == StageWaiting {
			s.refuse(now, r, RefusedNoEndpoint, tlverdict.NoEndpoint, time.Second)
			s.end(now, r)
		}
	}
}

// shed moves the streams that are cheapest to move from an engine whose answers outgrew its memory.
func (s *Scheduler) shed(now time.Time, e *engine) {
	for s.options.Preempt && e.memory.Free()+e.memory.UsedByOthers() < 0 {
		var v *request
		for _, r := range s.sorted() {
			if r.decode == e && r.stage == StageDecoding && (v == nil || r.size() < v.size()) {
				v = r
			}
		}
		if v == nil {
			return
		}
		v.deliver(v.tokens)
		s.retry(now, v, RetriedOutgrown)
	}
}

// size returns the tokens that would have to be prefilled to move the request.
func (r *request) size() int {
	return r.PromptTokens + r.tokens - r.Delivered
}

// sorted returns the requests in an order that does not depend on the map's.
func (s *Scheduler) sorted() []*request {
	l := make([]*request, 0, len(s.requests))
	for _, r := range s.requests {
		l = append(l, r)
	}
	slices.SortFunc(l, func(a, b *request) int { return strings.Compare(a.Request, b.Request) })
	return l
}
