package tltrial

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"trefoillanding/core/tlmodel"
	"trefoillanding/core/tlwire"
)

// stallCheck is how long an owner sees no progress before it reports a stall.
const stallCheck = 100 * time.Millisecond

// attempt is one try at a request, at the engines.
type attempt struct {
	call     *call
	name     string
	source   *tlmodel.PrefillEngine
	prefill  *tlmodel.Prefill
	engine   *tlmodel.DecodeEngine
	stream   *tlmodel.Stream
	transfer *tlmodel.Transfer
	priority int
	moved    float64
	used     bool
	closed   bool
}

func newAttempt(c *call, s tlwire.Step) *attempt {
	return &attempt{
		call:     c,
		name:     s.Attempt,
		source:   c.trial.prefills[s.Engine],
		priority: s.Priority,
	}
}

func (a *attempt) report(r tlwire.Report) {
	a.call.report(a.name, r)
}

func (a *attempt) startPrefill() {
	c := a.call
	a.prefill = &tlmodel.Prefill{
		Tokens:   c.request.Prompt + c.delivered,
		Blocks:   c.request.Blocks,
		Priority: a.priority,
	}
	a.prefill.Done = a.prefilled
	a.prefill.Lapsed = a.lapsed
	a.prefill.Failed = func(reason string) {
		if !a.closed {
			a.report(tlwire.Report{Kind: tlwire.ReportKindPrefillFailed, Reason: reason})
		}
	}
	a.source.Start(a.prefill)
}

func (a *attempt) prefilled(cached int) {
	if a.closed {
		return
	}
	if a.call.measured {
		a.call.trial.result.Cached += float64(cached)
	}
	m := a.call.trial.model
	a.report(tlwire.Report{
		Kind:         tlwire.ReportKindPrefillDone,
		Tokens:       a.prefill.Tokens,
		CachedTokens: cached,
		Bytes:        a.bytes(),
		HeldFor:      m.HeldFor,
	})
}

func (a *attempt) bytes() int64 {
	return int64(a.prefill.Tokens) * a.call.trial.model.BytesPerToken
}

// lapsed cuts a transfer whose source has dropped the result.
func (a *attempt) lapsed() {
	if !a.closed && a.transfer != nil {
		a.failTransfer(tlwire.ReportKindTransferFailed, tlmodel.ReasonLapsed)
	}
}

func (a *attempt) startTransfer(s tlwire.Step) {
	c := a.call
	if a.stream != nil {
		c.trial.result.Counters["OwnerMovedTransfer"]++
		a.leaveDecode()
	}
	a.engine = c.trial.decodes[s.Engine]
	if !a.source.Holds(a.prefill) {
		a.report(tlwire.Report{Kind: tlwire.ReportKindTransferFailed, Reason: tlmodel.ReasonUnknown})
		return
	}
	a.stream = &tlmodel.Stream{
		Prompt: c.request.Prompt,
		End:    c.request.Output,
		Pieces: s.Pieces,
		Token:  a.token,
		Failed: a.streamFailed,
	}
	if reason := a.engine.Import(a.stream, c.delivered); reason != "" {
		a.stream = nil
		a.report(tlwire.Report{Kind: tlwire.ReportKindTransferFailed, Reason: reason})
		return
	}
	a.moved = 0
	a.transfer = a.engine.Link.Start(a.bytes(), a.transferred)
	a.watch(a.transfer)
}

// watch reports a stall when no byte arrives for a while.
func (a *attempt) watch(f *tlmodel.Transfer) {
	a.call.trial.clock.After(stallCheck, func() {
		if a.closed || a.transfer != f {
			return
		}
		moved := a.engine.Link.Moved(f)
		if moved-a.moved < 1 {
			a.failTransfer(tlwire.ReportKindTransferStalled, "")
			return
		}
		a.moved = moved
		a.watch(f)
	})
}

func (a *attempt) failTransfer(k tlwire.ReportKind, reason string) {
	a.leaveDecode()
	a.report(tlwire.Report{Kind: k, Reason: reason})
}

func (a *attempt) transferred() {
	a.transfer = nil
	a.source.Release(a.prefill)
	a.report(tlwire.Report{Kind: tlwire.ReportKindTransferDone})
	a.engine.Decode(a.stream)
}

func (a *attempt) token(index int) {
	a.used = true
	c := a.call
	c.token()
	if c.delivered >= c.request.Output {
		c.finished()
		return
	}
	if (index+1)%progressTokens == 0 {
		a.report(tlwire.Report{Kind: tlwire.ReportKindProgress, Tokens: c.delivered})
	}
}

func (a *attempt) streamFailed(reason string) {
	if a.closed {
		return
	}
	if a.transfer != nil {
		a.failTransfer(tlwire.ReportKindTransferFailed, reason)
		return
	}
	a.stream = nil
	if c := a.call; c.orphaned() {
		c.closeAttempt()
		c.tries++
		c.submit(c.home)
		return
	}
	a.report(tlwire.Report{Kind: tlwire.ReportKindDecodeFailed, Reason: reason, Tokens: a.call.delivered})
}

func (a *attempt) leaveDecode() {
	if a.transfer != nil {
		a.engine.Link.Cancel(a.transfer)
		a.transfer = nil
	}
	if a.stream != nil {
		a.engine.Cancel(a.stream)
		a.stream = nil
	}
}

// close cancels the attempt at the engines and books its prefill.
func (a *attempt) close() {
	if a.closed {
		return
	}
	a.closed = true
	a.leaveDecode()
	a.source.Cancel(a.prefill)
	if !a.call.measured {
		return
	}
	r := a.call.trial.result
	n := a.source.Computed(a.prefill)
	r.Computed += n
	if !a.used {
		r.Wasted += n
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(int64(d / time.Microsecond))
}
