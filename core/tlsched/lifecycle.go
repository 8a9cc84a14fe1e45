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

// end deletes a request and releases all that it holds.
func (s *Scheduler) end(now time.Time, r *request) {
	s.release(now, r)
	delete(s.requests, r.Request)
}

// release releases all that the current attempt holds.
func (s *Scheduler) release(now time.Time, r *request) {
	s.releasePrefill(now, r)
	s.releaseDecode(now, r)
	s.queue.Remove(&r.item)
	if i := slices.Index(s.awaitingMemory, r); i >= 0 {
		s.awaitingMemory = slices.Delete(s.awaitingMemory, i, i+1)
	}
	r.source, r.cacheBytes = nil, 0
}

func (s *Scheduler) releasePrefill(now time.Time, r *request) {
	if r.prefill == nil {
		return
	}
	r.prefill.endPrefill(now, r.prefillWork)
	r.source = r.prefill
	r.prefill = nil
}

func (s *Scheduler) releaseDecode(now time.Time, r *request) {
	e := r.decode
	if e == nil {
		return
	}
	n := e.memory.Release(r.attempt)
	s.shares.release(r.Organisation, r.sharePieces)
	r.sharePieces = 0
	s.releaseLink(r)
	e.streams--
	if r.stage == StageTransferring || r.stage == StageDecoding {
		e.importedPieces -= n
	}
	if r.stage == StageDecoding {
		s.estimates.freedRate.Add(now, float64(n))
		updateAverage(&s.estimates.freedPerStream, float64(n))
	}
	r.decode = nil
	r.pieces = 0
}

func (s *Scheduler) releaseLink(r *request) {
	r.decode.link.Release(r.linkBytes)
	r.linkBytes = 0
}

// retry queues the request again as a new attempt, in the late lane if the retry budget is spent.
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
	s.setItem(now, r, due)
	if s.options.RetryBudget && !s.budget.Spend(s.prefillTime(r.PromptTokens).Seconds()) {
		s.counts[DelayedRetry]++
		r.item.StartDeadline = now.Add(-1)
	}
	s.queue.Push(now, &r.item)
}

// releaseReservations releases the decode memory that prefilling requests have
// reserved on an engine that gets no new work; the requests then wait for memory on
// another one.
func (s *Scheduler) releaseReservations(e *engine) {
	for _, r := range s.sorted() {
		if r.decode == e && r.stage == StagePrefilling {
			s.releaseDecode(s.lastEvent, r)
			s.awaitingMemory = append(s.awaitingMemory, r)
		}
	}
}

// failOver retries the requests that a lost engine worked on. A transfer to it waits
// for its owner's report, since a second transfer started now could not be told apart
// from it.
func (s *Scheduler) failOver(now time.Time, e *engine) {
	s.releaseReservations(e)
	for _, r := range s.sorted() {
		lost := r.prefill == e || (r.source == e && r.stage != StageDecoding)
		if lost || (r.decode == e && r.stage == StageDecoding) {
			r.deliver(r.tokens)
			s.retry(now, r, RetriedEngineGone)
		}
	}
}

// refuseWaiting refuses the waiting requests when the pool has no prefill or no decode
// engine left; the owner of a request that has already run continues it elsewhere.
func (s *Scheduler) refuseWaiting(now time.Time) {
	if s.capacity.prefillEngines > 0 && s.capacity.decodeEngines > 0 {
		return
	}
	for _, r := range s.sorted() {
		if r.stage == StageWaiting {
			s.refuse(now, r, RefusedNoEndpoint, tlverdict.NoEndpoint, time.Second)
			s.end(now, r)
		}
	}
}

// preempt moves streams away from an engine whose answers have outgrown its memory,
// those with the fewest tokens to prefill again first.
func (s *Scheduler) preempt(now time.Time, e *engine) {
	for s.options.Preempt && e.memory.Free()+e.memory.UsedByOthers() < 0 {
		var v *request
		for _, r := range s.sorted() {
			if r.decode == e && r.stage == StageDecoding && (v == nil || r.moveTokens() < v.moveTokens()) {
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

// moveTokens returns the tokens that would have to be prefilled to move the request.
func (r *request) moveTokens() int {
	return r.PromptTokens + r.tokens - r.Delivered
}

// sorted returns the requests in order of their names, so that results don't depend on map order.
func (s *Scheduler) sorted() []*request {
	l := make([]*request, 0, len(s.requests))
	for _, r := range s.requests {
		l = append(l, r)
	}
	slices.SortFunc(l, func(a, b *request) int { return strings.Compare(a.Request, b.Request) })
	return l
}
