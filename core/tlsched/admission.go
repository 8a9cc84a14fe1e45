package tlsched

import (
	"time"

	"trefoillanding/core/tlverdict"
	"trefoillanding/core/tlwire"
)

const (
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// noDeadline is added to the submission time as the latest start when LateLane is off,
	// so that no request counts as late.
	noDeadline = 24 * time.Hour
	// retryAfterJitter is the largest random part added to a RetryAfter, so that refused
	// callers don't return all at once.
	retryAfterJitter = 0.5
)

// setItem fills in the queue item of a request: its organisation, cost, latest start and rank.
func (s *Scheduler) setItem(now time.Time, r *request, due time.Time) {
	i := &r.item
	i.Organisation = r.Organisation
	if !s.options.Fair {
		i.Organisation = ""
	}
	i.Arrived = r.Arrived
	i.Cost = s.cost(r)
	i.StartDeadline, i.Rank = s.latest(now, r, due)
	if s.options.Slack {
		i.Rank = i.Rank.Add(seconds(s.options.CostPenalty * i.Cost.Sum()))
	}
}

// latest returns when the request must start to meet its target, and its rank in the
// queue before its cost is added.
func (s *Scheduler) latest(now time.Time, r *request, due time.Time) (latest, rank time.Time) {
	latest = due.Add(-s.firstToken(r))
	rank = latest
	if !s.options.Slack {
		rank = r.Arrived
	}
	if !s.options.LateLane {
		latest = now.Add(noDeadline)
	}
	return latest, rank
}

// due returns the deadline for the first token. It is the owner's, or later where
// prefill and transfer alone take longer on idle engines, which the owner can't know.
func (s *Scheduler) due(r *request) time.Time {
	idle := s.prefillTime(r.PromptTokens) + s.transferTime(s.cacheBytes(r))
	t := r.Arrived.Add(idle + min(idle, s.targets.FirstToken))
	if t.After(r.Due) {
		return t
	}
	return r.Due
}

// firstToken predicts the time from the start of a request to its first token on idle
// engines. It ignores the prefix cache, since the engine that holds the prefix may be
// busy.
func (s *Scheduler) firstToken(r *request) time.Duration {
	step := seconds(s.estimates.step.At(float64(s.streamLimit())))
	return s.prefillTime(r.PromptTokens) + s.transferTime(s.cacheBytes(r)) + step + s.options.SlackMargin
}

// admit reports whether a request may wait in the queue; if not, it refuses the request.
func (s *Scheduler) admit(now time.Time, r *request) bool {
	c := s.capacity
	if c.prefillEngines == 0 || c.decodeEngines == 0 {
		s.refuse(now, r, RefusedNoEndpoint, tlverdict.NoEndpoint, time.Second)
		return false
	}
	if s.piecesFor(r.PromptTokens) > c.largestMemory {
		s.refuse(now, r, RefusedPromptTooLong, tlverdict.PromptTooLong, 0)
		return false
	}
	if !s.options.Admission {
		return true
	}
	if s.missesTarget(now, r) {
		r.item.StartDeadline = now.Add(-1)
	}
	if r.isFresh() && now.After(r.item.StartDeadline) && !s.admitLate(now, r) {
		return false
	}
	return s.waiting() < s.bounds.QueueLength || s.makeRoom(now, r)
}

// shouldSpill reports whether the request would miss its target here and its owner may try another pool.
func (s *Scheduler) shouldSpill(now time.Time, r *request) bool {
	if !s.options.Spill || !r.Spills || !r.isFresh() {
		return false
	}
	w := s.prefillWait(now) + seconds(s.queue.Total(false).Bottleneck())
	if s.violatesShareReserve(r) {
		return true
	}
	if s.decodeFor(now, r) == nil {
		w = max(w, s.memoryWait(now, r))
	}
	return now.Add(w).After(r.item.StartDeadline)
}

// violatesShareReserve reports whether the request belongs to an organisation above
// its share and would take memory reserved for organisations within theirs.
func (s *Scheduler) violatesShareReserve(r *request) bool {
	if s.options.ShareReserve == 0 || !r.isFresh() || !s.shares.exceeds(r.Organisation, s.neededPieces(r), s.capacity.pieces) {
		return false
	}
	left := s.freePieces() - s.neededPieces(r)
	return float64(left) < s.options.ShareReserve*float64(s.capacity.pieces)
}

func (s *Scheduler) freePieces() int {
	n := 0
	for _, e := range s.engineList {
		if e.canDecode() && e.isServing() {
			n += max(e.memory.Free(), 0)
		}
	}
	return n
}

// spill refuses a request so that its owner tries another pool.
func (s *Scheduler) spill(r *request) {
	s.counts[RefusedPoolBusy]++
	t := r.step(tlwire.StepKindRefuse)
	t.Reason = string(tlverdict.PoolBusy)
	t.RetryAfter = minRetryAfter
	s.steps = append(s.steps, t)
}

// memoryWait predicts how long a request that finds no free memory waits for it.
func (s *Scheduler) memoryWait(now time.Time, r *request) time.Duration {
	f := s.estimates.freedRate.PerSecond(now)
	if f <= 0 {
		return 0
	}
	return seconds(float64(s.neededPieces(r)) / f)
}

// missesTarget reports whether the organisation's queued on-time requests already take
// longer than the request's slack.
func (s *Scheduler) missesTarget(now time.Time, r *request) bool {
	c, share := s.queue.Backlog(r.item.Organisation)
	return s.options.LateLane && c.Bottleneck()/share > r.item.StartDeadline.Sub(now).Seconds()
}

// admitLate reports whether the request may enter the late lane. When the predicted
// wait there is too long, it makes room by refusing the newest late request of the
// organisation with the largest late backlog, or refuses this request if its own
// organisation has or would have the largest.
func (s *Scheduler) admitLate(now time.Time, r *request) bool {
	w := s.lateWait(now)
	if s.queue.Len(true) == 0 || w <= s.bounds.QueueWait {
		return true
	}
	o, most := s.queue.LargestLateBacklog()
	i := s.queue.NewestLate(o)
	own := s.queue.LateBacklog(r.item.Organisation) + r.item.Cost.Bottleneck()
	if o == r.item.Organisation || own >= most || i == nil || !i.Value.isFresh() {
		s.refuse(now, r, RefusedWaitTooLong, tlverdict.WaitTooLong, w-s.bounds.QueueWait)
		return false
	}
	s.refuse(now, i.Value, RefusedWaitTooLong, tlverdict.WaitTooLong, w-s.bounds.QueueWait)
	s.end(now, i.Value)
	return true
}

// lateWait predicts the wait of a new request in the late lane.
func (s *Scheduler) lateWait(now time.Time) time.Duration {
	rate := max(s.options.LateShare, s.estimates.spareRate.PerSecond(now), s.freeShare())
	return seconds(s.queue.Total(true).Bottleneck() / max(rate, 1e-6))
}

// freeShare returns the free share of decode memory less LateReserve, which late requests leave free.
func (s *Scheduler) freeShare() float64 {
	return float64(s.freePieces())/float64(max(s.capacity.pieces, 1)) - s.options.LateReserve
}

// makeRoom refuses the newest late request of the organisation with the largest
// backlog when the queue is full, or the new request if it belongs to that
// organisation or none can be refused.
func (s *Scheduler) makeRoom(now time.Time, r *request) bool {
	o := s.queue.LargestBacklog()
	i := s.queue.NewestLate(o)
	if o == r.item.Organisation || i == nil || !i.Value.isFresh() {
		s.refuse(now, r, RefusedQueueFull, tlverdict.QueueFull, s.lateWait(now))
		return false
	}
	s.refuse(now, i.Value, RefusedQueueFull, tlverdict.QueueFull, s.lateWait(now))
	s.end(now, i.Value)
	return true
}

// demote moves overdue requests to the late lane, or refuses them when the wait there is too long.
func (s *Scheduler) demote(now time.Time) {
	for i := s.queue.PopOverdue(now); i != nil; i = s.queue.PopOverdue(now) {
		r := i.Value
		if s.options.Admission && r.isFresh() && !s.admitLate(now, r) {
			s.end(now, r)
			continue
		}
		s.queue.Return(i)
	}
}

func (s *Scheduler) refuse(now time.Time, r *request, c Counter, v tlverdict.Reason, after time.Duration) {
	s.counts[c]++
	s.estimates.refuseRate.Add(now, 1)
	t := r.step(tlwire.StepKindRefuse)
	t.Reason = string(v)
	t.RetryAfter = s.retryAfter(now, after)
	s.steps = append(s.steps, t)
}

// retryAfter returns the delay advised to a refused caller. It grows with the share of
// requests refused, so that returning callers spread over more time.
func (s *Scheduler) retryAfter(now time.Time, least time.Duration) time.Duration {
	share := s.estimates.refuseRate.PerSecond(now) / max(s.estimates.submitRate.PerSecond(now), 1)
	d := max(least, minRetryAfter, seconds(min(share, 1)*maxRetryAfter.Seconds()))
	d = min(d, maxRetryAfter)
	return d + time.Duration(s.random.Float64()*retryAfterJitter*float64(d))
}
