package tlsched

import (
	"time"

	"trefoillanding/core/tlwire"
)

// handler handles one kind of report. The report is dropped as stale unless it names
// the current attempt and comes in the given stage, where the kind requires that.
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

// reasonFull is the reason given when the engine has no memory left; it does not count
// as a failure of the engine.
const reasonFull = "Full"

func (s *Scheduler) cancelled(now time.Time, r *request, _ tlwire.Report) {
	s.cancel(now, r)
}

func (s *Scheduler) finished(now time.Time, r *request, p tlwire.Report) {
	if p.Attempt != r.attempt {
		s.abandon(r)
	}
	if p.Tokens > 0 {
		s.estimates.lengths.Observe(r.Organisation, r.Model, p.Tokens)
	}
	s.correctDecodeCharge(now, r)
	s.counts[Finished]++
	s.end(now, r)
}

// correctDecodeCharge replaces the predicted decode cost charged to the organisation by the actual one.
func (s *Scheduler) correctDecodeCharge(now time.Time, r *request) {
	if r.stage != StageDecoding {
		return
	}
	c := s.decodeCost(r.pieces, now.Sub(r.decodeStart).Seconds())
	s.queue.Correct(r.item.Organisation, c-r.chargedCost.Decode)
}

func (s *Scheduler) prefillDone(now time.Time, r *request, p tlwire.Report) {
	s.learnPrefill(now, r, p)
	s.releasePrefill(now, r)
	r.cacheBytes = p.Bytes
	r.heldUntil = now.Add(p.HeldFor - s.transferTime(p.Bytes) - s.options.HoldMargin)
	if r.decode != nil && s.canTransfer(now, r) {
		s.transfer(now, r)
		return
	}
	if r.decode != nil {
		s.releaseDecode(now, r)
		s.awaitingMemory = append(s.awaitingMemory, r)
	}
	r.stage = StageHeld
}

// canTransfer reports whether the reserved decode engine takes work and no other one
// would end the transfer sooner by more than minMoveGain.
func (s *Scheduler) canTransfer(now time.Time, r *request) bool {
	if !r.decode.takesWork(now) {
		return false
	}
	if !s.options.WeighLinks || !s.options.RetryTransfer {
		return true
	}
	d := s.decodeFor(now, r)
	return d == nil || r.decode.link.TransferTime(0) <= d.link.TransferTime(r.cacheBytes)+minMoveGain
}

// minMoveGain is how much sooner a transfer to another engine must end for the reservation to move there.
const minMoveGain = 20 * time.Millisecond

func (s *Scheduler) learnPrefill(now time.Time, r *request, p tlwire.Report) {
	e := r.prefill
	e.recordSuccess()
	began := r.prefillStart
	if e.busySince.After(began) {
		began = e.busySince
	}
	if t := now.Sub(began); t > 0 && p.Tokens > 0 {
		s.estimates.prefill.Observe(float64(p.Tokens-p.CachedTokens), t.Seconds())
	}
	s.prefixes.ObserveHits(e.prefixNumber, r.expectedBlocks, float64(p.CachedTokens)/blockTokens)
	s.prefixes.RecordPrefill(now, e.prefixNumber, r.Blocks)
	if p.Tokens > 0 && p.Bytes > 0 {
		updateAverage(&s.estimates.bytesPerToken, float64(p.Bytes)/float64(p.Tokens))
	}
	if p.HeldFor > 0 {
		updateAverage(&s.estimates.heldFor, p.HeldFor.Seconds())
	}
	if s.capacity.prefillEngines > 0 {
		took := s.prefillTime(p.Tokens - p.CachedTokens).Seconds()
		s.queue.Correct(r.item.Organisation, took/float64(s.capacity.prefillEngines)-r.chargedCost.Prefill)
	}
}

func (s *Scheduler) prefillFailed(now time.Time, r *request, _ tlwire.Report) {
	s.suspend(now, r.prefill)
	s.retry(now, r, RetriedPrefillFailed)
}

func (s *Scheduler) transferDone(now time.Time, r *request, _ tlwire.Report) {
	r.decode.recordSuccess()
	r.decode.link.Observe(r.cacheBytes, now.Sub(r.transferStart))
	s.releaseLink(r)
	r.stage = StageDecoding
	r.decodeStart, r.progressAt, r.tokens = now, now, r.Delivered
}

// transferFailed tries another decode engine while the prefill result is still held.
func (s *Scheduler) transferFailed(now time.Time, r *request, p tlwire.Report) {
	if p.Reason == reasonFull {
		r.decode.memory.SetUsedByOthers(r.decode.memory.UsedByOthers() + r.pieces)
	} else {
		s.suspend(now, r.decode)
	}
	if !s.options.RetryTransfer || !now.Before(r.heldUntil) {
		s.retry(now, r, RetriedTransferFailed)
		return
	}
	s.counts[MovedTransfer]++
	s.releaseDecode(now, r)
	r.stage = StageHeld
	s.awaitingMemory = append(s.awaitingMemory, r)
}

func (s *Scheduler) progressed(now time.Time, r *request, p tlwire.Report) {
	e := r.decode
	if n := p.Tokens - r.tokens; n >= minStepTokens {
		s.estimates.step.Observe(float64(e.streams), now.Sub(r.progressAt).Seconds()/float64(n))
		r.tokens, r.progressAt = p.Tokens, now
	}
	n := s.piecesFor(r.PromptTokens + p.Tokens - r.Delivered)
	if n <= r.pieces {
		return
	}
	e.memory.Grow(r.attempt, n)
	e.importedPieces += n - r.pieces
	r.pieces = n
	s.preempt(now, e)
}

// minStepTokens is the number of new tokens that a progress report needs for its step time to be learnt.
const minStepTokens = 5

func (s *Scheduler) decodeFailed(now time.Time, r *request, p tlwire.Report) {
	s.suspend(now, r.decode)
	r.deliver(p.Tokens)
	s.retry(now, r, RetriedDecodeFailed)
}

func (s *Scheduler) suspend(now time.Time, e *engine) {
	if s.options.Suspend {
		e.recordFailure(now, s.options.SuspendFor)
	}
}
