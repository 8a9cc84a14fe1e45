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

func (s *Scheduler) cancel(r *request) {
	s.counts[cancelCounters[r.stage]]++
	if r.stage != StageWaiting {
		s.abandon(r)
	}
	s.end(r)
}

// abandon tells the owner to cancel the current attempt at the engines.
func (s *Scheduler) abandon(r *request) {
	s.steps = append(s.steps, r.step(tlwire.StepKindAbandon))
}

// end forgets a request and gives back all that it holds.
func (s *Scheduler) end(r *request) {
	s.release(r)
	delete(s.requests, r.Request)
}

// release gives back all that the current attempt holds.
func (s *Scheduler) release(r *request) {
	s.leavePrefill(r)
	s.leaveDecode(r)
	s.waiting = without(s.waiting, r)
	s.held = without(s.held, r)
}

func without(l []*request, r *request) []*request {
	if i := slices.Index(l, r); i >= 0 {
		return slices.Delete(l, i, i+1)
	}
	return l
}

func (s *Scheduler) leavePrefill(r *request) {
	if r.prefill == nil {
		return
	}
	r.prefill.prefills--
	r.prefill.work -= r.work
	r.prefill = nil
}

func (s *Scheduler) leaveDecode(r *request) {
	if r.decode == nil {
		return
	}
	r.decode.held -= r.pieces
	r.decode.streams--
	r.decode = nil
	r.pieces = 0
}

func (s *Scheduler) hold(r *request) {
	r.stage = StageHeld
	s.held = append(s.held, r)
}

// retry queues the request again, ahead of fresh ones, as a new attempt.
func (s *Scheduler) retry(r *request, c Counter) {
	s.counts[c]++
	s.abandon(r)
	s.release(r)
	if r.number-r.Tries >= s.options.Attempts {
		s.refuse(r, RefusedRetriesSpent, tlverdict.RetriesSpent, retryAfter)
		delete(s.requests, r.Request)
		return
	}
	r.nextAttempt()
	r.stage = StageWaiting
	s.waiting = slices.Insert(s.waiting, 0, r)
}

func (s *Scheduler) failOver(_ time.Time, e *engine) {
	for _, r := range s.sorted() {
		if r.decode == e && r.stage == StagePrefilling {
			s.leaveDecode(r)
			continue
		}
		if r.prefill == e || r.decode == e {
			s.retry(r, RetriedEngineGone)
		}
	}
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
