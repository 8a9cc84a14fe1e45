package tlsched

import (
	"time"

	"trefoillanding/core/tlverdict"
	"trefoillanding/core/tlwire"
)

const (
	leastRetryAfter = 200 * time.Millisecond
	mostRetryAfter  = 30 * time.Second
	// never is the slack of requests while no lane is kept for the late.
	never = 24 * time.Hour
	// spread is the random part of a RetryAfter, so that refused callers don't return at once.
	spread = 0.5
)

// prepare fills in the place of a request in the queue.
func (s *Scheduler) prepare(now time.Time, r *request, due time.Time) {
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

// latest returns when the request must start to meet its target, and its rank without its cost.
func (s *Scheduler) latest(now time.Time, r *request, due time.Time) (latest, rank time.Time) {
	latest = due.Add(-s.firstToken(r))
	rank = latest
	if !s.options.Slack {
		rank = r.Arrived
	}
	if !s.options.LateLane {
		latest = now.Add(never)
	}
	return latest, rank
}

// due returns when the first token of a good request is out: as its owner says,
// or later where prefill and transfer alone take longer on idle engines, which
// the owner can't know.
func (s *Scheduler) due(r *request) time.Time {
	idle := s.prefillTime(r.PromptTokens) + s.transferTime(s.bytes(r))
	t := r.Arrived.Add(idle + min(idle, s.targets.FirstToken))
	if t.After(r.Due) {
		return t
	}
	return r.Due
}

// firstToken predicts the time from the start of a request to its first token on
// idle engines; it doesn't count on a prefix cache, which may be on a busy one.
func (s *Scheduler) firstToken(r *request) time.Duration {
	step := seconds(s.known.step.At(float64(s.streamLimit())))
	return s.prefillTime(r.PromptTokens) + s.transferTime(s.bytes(r)) + step + s.options.SlackMargin
}

// admit says whether a request may wait, and refuses it otherwise.
func (s *Scheduler) admit(now time.Time, r *request) bool {
	c := s.capacity
	if c.prefills == 0 || c.decodes == 0 {
		s.refuse(now, r, RefusedNoEndpoint, tlverdict.NoEndpoint, time.Second)
		return false
	}
	if s.pieces(r.PromptTokens) > c.largest {
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

// spills says whether the request would miss its target here and may be tried elsewhere.
func (s *Scheduler) spills(now time.Time, r *request) bool {
	if !s.options.Spill || !r.Spills || !r.isFresh() {
		return false
	}
	w := s.prefillWait(now) + seconds(s.queue.Total(false).Bottleneck())
	if s.leavesTooLittle(r) {
		return true
	}
	if s.decodeFor(now, r) == nil {
		w = max(w, s.memoryWait(now, r))
	}
	return now.Add(w).After(r.item.StartDeadline)
}

// leavesTooLittle says whether the request of an organisation above its share
// would take memory that is kept for those within theirs.
func (s *Scheduler) leavesTooLittle(r *request) bool {
	if s.options.ShareReserve == 0 || !r.isFresh() || !s.shares.exceeds(r.Organisation, s.need(r), s.capacity.pieces) {
		return false
	}
	left := s.freePieces() - s.need(r)
	return float64(left) < s.options.ShareReserve*float64(s.capacity.pieces)
}

func (s *Scheduler) freePieces() int {
	n := 0
	for _, e := range s.order {
		if e.decodesToo() && e.isServing() {
			n += max(e.memory.Free(), 0)
		}
	}
	return n
}

// spill refuses a request so that its owner asks another pool.
func (s *Scheduler) spill(r *request) {
	s.counts[RefusedPoolBusy]++
	t := r.step(tlwire.StepKindRefuse)
	t.Reason = string(tlverdict.PoolBusy)
	t.RetryAfter = leastRetryAfter
	s.steps = append(s.steps, t)
}

// memoryWait predicts when memory is freed for a request that finds none.
func (s *Scheduler) memoryWait(now time.Time, r *request) time.Duration {
	f := s.known.freed.PerSecond(now)
	if f <= 0 {
		return 0
	}
	return seconds(float64(s.need(r)) / f)
}

// missesTarget says whether the requests of the same organisation that wait already use up the slack.
func (s *Scheduler) missesTarget(now time.Time, r *request) bool {
	c, share := s.queue.Backlog(r.item.Organisation)
	return s.options.LateLane && c.Bottleneck()/share > r.item.StartDeadline.Sub(now).Seconds()
}

// admitLate says whether the late lane has room; a request of the organisation
// with most in it is refused to make room for one of another.
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
	rate := max(s.options.LateShare, s.known.spare.PerSecond(now), s.freeShare())
	return seconds(s.queue.Total(true).Bottleneck() / max(rate, 1e-6))
}

// freeShare returns the part of decode memory beyond what late requests leave free.
func (s *Scheduler) freeShare() float64 {
	return float64(s.freePieces())/float64(max(s.capacity.pieces, 1)) - s.options.LateReserve
}

// makeRoom refuses the newest late request of the organisation with most
// waiting in a full queue; the one that asks is refused if it is that one's.
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

// demote moves requests that have become late, or refuses them when too many have.
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
	s.known.refused.Add(now, 1)
	t := r.step(tlwire.StepKindRefuse)
	t.Reason = string(v)
	t.RetryAfter = s.retryAfter(now, after)
	s.steps = append(s.steps, t)
}

// retryAfter advises when to come back; the more callers are refused, the
// longer it takes, so that those who return spread over more time.
func (s *Scheduler) retryAfter(now time.Time, least time.Duration) time.Duration {
	share := s.known.refused.PerSecond(now) / max(s.known.asked.PerSecond(now), 1)
	d := max(least, leastRetryAfter, seconds(min(share, 1)*mostRetryAfter.Seconds()))
	d = min(d, mostRetryAfter)
	return d + time.Duration(s.random.Float64()*spread*float64(d))
}
