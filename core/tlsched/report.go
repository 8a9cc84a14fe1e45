package tlsched

import (
	"time"

	"trefoillanding/core/tlwire"
)

// handler says what a report does and when it counts.
type handler struct {
	stage      Stage
	anyStage   bool
	anyAttempt bool
	handle     func(*Scheduler, time.Time, *request, tlwire.Report)
}

var handlers = map[tlwire.ReportKind]handler{
	tlwire.ReportKindCancelled:       {anyStage: true, anyAttempt: true, handle: (*Scheduler).cancelled},
	tlwire.ReportKindFinished:        {anyStage: true, anyAttempt: true, handle: (*Scheduler).finished},
	tlwire.ReportKindPrefillDone:     {stage: StagePrefilling, handle: (*Scheduler).prefillDone},
	tlwire.ReportKindPrefillFailed:   {stage: StagePrefilling, handle: (*Scheduler).prefillFailed},
	tlwire.ReportKindTransferDone:    {stage: StageTransferring, handle: (*Scheduler).transferDone},
	tlwire.ReportKindTransferStalled: {stage: StageTransferring, handle: (*Scheduler).transferFailed},
	tlwire.ReportKindTransferFailed:  {stage: StageTransferring, handle: (*Scheduler).transferFailed},
	tlwire.ReportKindProgress:        {stage: StageDecoding, handle: (*Scheduler).progressed},
	tlwire.ReportKindDecodeFailed:    {stage: StageDecoding, handle: (*Scheduler).decodeFailed},
}

// reasonFull is the reason of an engine without memory; it is no fault of the engine.
const reasonFull = "Full"

func (s *Scheduler) cancelled(now time.Time, r *request, _ tlwire.Report) {
	s.cancel(now, r)
}

func (s *Scheduler) finished(now time.Time, r *request, p tlwire.Report) {
	if p.Attempt != r.attempt {
		s.abandon(r)
	}
	if p.Tokens > 0 {
		s.known.lengths.Observe(r.Organisation, r.Model, p.Tokens)
	}
	s.settle(now, r)
	s.counts[Finished]++
	s.end(now, r)
}

// settle corrects what the organisation was charged by what the request took.
func (s *Scheduler) settle(now time.Time, r *request) {
	if r.stage != StageDecoding {
		return
	}
	c := s.decodeCost(r.pieces, now.Sub(r.decoded).Seconds())
	s.queue.Correct(r.item.Organisation, c-r.charged.Decode)
}

func (s *Scheduler) prefillDone(now time.Time, r *request, p tlwire.Report) {
	s.learnPrefill(now, r, p)
	s.leavePrefill(now, r)
	r.bytes = p.Bytes
	r.heldUntil = now.Add(p.HeldFor - s.transferTime(p.Bytes) - s.options.HoldMargin)
	if r.decode != nil && s.isReady(now, r) {
		s.transfer(now, r)
		return
	}
	if r.decode != nil {
		s.leaveDecode(now, r)
		s.unfunded = append(s.unfunded, r)
	}
	r.stage = StageHeld
}

// isReady says whether the decode engine that was reserved can take the result now.
func (s *Scheduler) isReady(now time.Time, r *request) bool {
	if !r.decode.takesWork(now) {
		return false
	}
	if !s.options.WeighLinks || !s.options.RetryTransfer {
		return true
	}
	d := s.decodeFor(now, r)
	return d == nil || r.decode.link.TransferTime(0) <= d.link.TransferTime(r.bytes)+betterBy
}

// betterBy is how much sooner another link must be done for a reservation to move.
const betterBy = 20 * time.Millisecond

func (s *Scheduler) learnPrefill(now time.Time, r *request, p tlwire.Report) {
	e := r.prefill
	e.worked()
	began := r.started
	if e.since.After(began) {
		began = e.since
	}
	if t := now.Sub(began); t > 0 && p.Tokens > 0 {
		s.known.prefill.Observe(float64(p.Tokens-p.CachedTokens), t.Seconds())
	}
	s.prefixes.Found(e.number, r.expected, float64(p.CachedTokens)/blockTokens)
	s.prefixes.Learn(now, e.number, r.Blocks)
	if p.Tokens > 0 && p.Bytes > 0 {
		average(&s.known.bytesPerToken, float64(p.Bytes)/float64(p.Tokens))
	}
	if p.HeldFor > 0 {
		average(&s.known.heldFor, p.HeldFor.Seconds())
	}
	if s.capacity.prefills > 0 {
		took := s.prefillTime(p.Tokens - p.CachedTokens).Seconds()
		s.queue.Correct(r.item.Organisation, took/float64(s.capacity.prefills)-r.charged.Prefill)
	}
}

func (s *Scheduler) prefillFailed(now time.Time, r *request, _ tlwire.Report) {
	s.suspend(now, r.prefill)
	s.retry(now, r, RetriedPrefillFailed)
}

func (s *Scheduler) transferDone(now time.Time, r *request, _ tlwire.Report) {
	r.decode.worked()
	r.decode.link.Observe(r.bytes, now.Sub(r.sent))
	s.unlink(r)
	r.stage = StageDecoding
	r.decoded, r.progress, r.tokens = now, now, r.Delivered
}

// transferFailed tries another destination while the prefill result lives.
func (s *Scheduler) transferFailed(now time.Time, r *request, p tlwire.Report) {
	if p.Reason == reasonFull {
		r.decode.memory.SetForeign(r.decode.memory.Foreign() + r.pieces)
	} else {
		s.suspend(now, r.decode)
	}
	if !s.options.RetryTransfer || !now.Before(r.heldUntil) {
		s.retry(now, r, RetriedTransferFailed)
		return
	}
	s.counts[MovedTransfer]++
	s.leaveDecode(now, r)
	r.stage = StageHeld
	s.unfunded = append(s.unfunded, r)
}

func (s *Scheduler) progressed(now time.Time, r *request, p tlwire.Report) {
	e := r.decode
	if n := p.Tokens - r.tokens; n >= leastSteps {
		s.known.step.Observe(float64(e.streams), now.Sub(r.progress).Seconds()/float64(n))
		r.tokens, r.progress = p.Tokens, now
	}
	n := s.pieces(r.PromptTokens + p.Tokens - r.Delivered)
	if n <= r.pieces {
		return
	}
	e.memory.Grow(r.attempt, n)
	e.imported += n - r.pieces
	r.pieces = n
	s.shed(now, e)
}

// leastSteps is the number of tokens from which the time of a step is learnt.
const leastSteps = 5

func (s *Scheduler) decodeFailed(now time.Time, r *request, p tlwire.Report) {
	s.suspend(now, r.decode)
	r.deliver(p.Tokens)
	s.retry(now, r, RetriedDecodeFailed)
}

func (s *Scheduler) suspend(now time.Time, e *engine) {
	if s.options.Suspend {
		e.failed(now, s.options.SuspendFor)
	}
}
