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

var handlers map[tlwire.ReportKind]handler

func init() {
	handlers = map[tlwire.ReportKind]handler{
		tlwire.ReportKindCancelled:       {anyStage: true, anyAttempt: true, handle: (*Scheduler).cancelled},
		tlwire.ReportKindFinished:        {anyStage: true, anyAttempt: true, handle: (*Scheduler).finished},
		tlwire.ReportKindPrefillDone:     {stage: StagePrefilling, handle: (*Scheduler).prefillDone},
		tlwire.ReportKindPrefillFailed:   {stage: StagePrefilling, handle: (*Scheduler).prefillFailed},
		tlwire.ReportKindTransferDone:    {stage: StageTransferring, handle: (*Scheduler).transferDone},
		tlwire.ReportKindTransferStalled: {stage: StageTransferring, handle: (*Scheduler).transferFailed},
		tlwire.ReportKindTransferFailed:  {stage: StageTransferring, handle: (*Scheduler).transferFailed},
		tlwire.ReportKindProgress:        {stage: StageDecoding, handle: (*Scheduler).progress},
		tlwire.ReportKindDecodeFailed:    {stage: StageDecoding, handle: (*Scheduler).decodeFailed},
	}
}

func (s *Scheduler) cancelled(_ time.Time, r *request, _ tlwire.Report) {
	s.cancel(r)
}

func (s *Scheduler) finished(_ time.Time, r *request, p tlwire.Report) {
	if p.Attempt != r.attempt {
		s.abandon(r)
	}
	s.counts[Finished]++
	s.end(r)
}

func (s *Scheduler) prefillDone(now time.Time, r *request, p tlwire.Report) {
	r.prefill.worked()
	s.leavePrefill(r)
	r.bytes = p.Bytes
	r.heldUntil = now.Add(p.HeldFor - s.options.HoldMargin)
	if r.decode != nil && r.decode.takesWork(now) {
		s.transfer(r)
		return
	}
	s.hold(r)
}

func (s *Scheduler) prefillFailed(now time.Time, r *request, _ tlwire.Report) {
	r.prefill.failed(now, s.options.SuspendFor)
	s.retry(r, RetriedPrefillFailed)
}

func (s *Scheduler) transferDone(_ time.Time, r *request, _ tlwire.Report) {
	r.decode.worked()
	r.stage = StageDecoding
}

// transferFailed tries another destination while the prefill result lives.
func (s *Scheduler) transferFailed(now time.Time, r *request, _ tlwire.Report) {
	r.decode.failed(now, s.options.SuspendFor)
	if !now.Before(r.heldUntil) {
		s.counts[PrefillWasted]++
		s.retry(r, RetriedTransferFailed)
		return
	}
	s.counts[MovedTransfer]++
	s.leaveDecode(r)
	s.hold(r)
}

func (s *Scheduler) progress(_ time.Time, r *request, p tlwire.Report) {
	n := s.pieces(r.PromptTokens + p.Tokens - r.Delivered)
	if n > r.pieces {
		r.decode.held += n - r.pieces
		r.pieces = n
	}
}

func (s *Scheduler) decodeFailed(now time.Time, r *request, p tlwire.Report) {
	r.decode.failed(now, s.options.SuspendFor)
	r.deliver(p.Tokens)
	s.retry(r, RetriedDecodeFailed)
}
