package tlrelay

import (
	"context"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"trefoillanding/core/tlverdict"
	"trefoillanding/core/tlwire"
)

type stepHandler func(r *run, ctx context.Context, s tlwire.Step) (bool, error)

var stepHandlers = map[tlwire.StepKind]stepHandler{
	tlwire.StepKindStartPrefill:  (*run).startPrefill,
	tlwire.StepKindStartTransfer: (*run).startTransfer,
	tlwire.StepKindRefuse:        (*run).refused,
	tlwire.StepKindAbandon:       (*run).dropAttempt,
}

// carryOut carries out one step and reports whether the answer is complete.
func (r *run) carryOut(ctx context.Context, s tlwire.Step) (bool, error) {
	if s.Pool != r.pool.Name {
		r.decline(s)
		return false, nil
	}
	handle, ok := stepHandlers[s.Kind]
	if !ok {
		r.relay.counters.Count(staleStep)
		return false, nil
	}
	return handle(r, ctx, s)
}

// decline tells a pool that the request has since moved to another pool.
func (r *run) decline(s tlwire.Step) {
	r.relay.counters.Count(staleStep)
	r.relay.deps.Homes.Report(tlwire.Report{
		Pool:    s.Pool,
		Request: s.Request,
		Attempt: s.Attempt,
		Kind:    tlwire.ReportKindCancelled,
	})
}

func (r *run) startPrefill(ctx context.Context, s tlwire.Step) (bool, error) {
	if s.Attempt == r.attempt {
		r.relay.deps.Homes.Report(r.lastReport)
		return false, nil
	}
	n := attemptNumber(s.Attempt)
	if n <= r.tries {
		r.relay.counters.Count(staleStep)
		return false, nil
	}
	r.cancelAttempt()
	r.attempt, r.tries = s.Attempt, n
	engine, ok := r.engine(s.Engine)
	if !ok {
		r.report(tlwire.ReportKindPrefillFailed)
		return false, nil
	}
	return false, r.runPrefill(ctx, s, engine)
}

// attemptNumber returns the number after the last slash of an attempt's id, or 0.
func attemptNumber(attempt string) int {
	n, err := strconv.Atoi(attempt[strings.LastIndexByte(attempt, '/')+1:])
	if err != nil {
		return 0
	}
	return n
}

func (r *run) runPrefill(ctx context.Context, s tlwire.Step, engine netip.AddrPort) error {
	r.started, r.prefillEngine = true, engine
	stage, stop := r.enterStage(ctx, s.Attempt)
	defer stop()
	result, err := r.relay.deps.Engines.Prefill(stage, engine, tlwire.PrefillRequest{
		Attempt:     s.Attempt,
		Request:     r.request.ID,
		Owner:       r.relay.deps.Name,
		Incarnation: r.relay.deps.Incarnation,
		Model:       r.request.Model,
		Adapter:     r.request.Adapter,
		Version:     r.request.Version,
		Prompt:      r.request.Prompt + r.text.String(),
		Priority:    s.Priority,
	})
	if err != nil {
		return r.stageFailed(ctx, stage, prefillFailed, tlwire.Report{
			Kind:   tlwire.ReportKindPrefillFailed,
			Reason: err.Error(),
		})
	}
	r.prefill = result
	r.unusedTokens = result.Tokens - result.CachedTokens
	r.relay.counters.Add(prefillTokens, int64(r.unusedTokens))
	r.sendReport(tlwire.Report{
		Kind:         tlwire.ReportKindPrefillDone,
		Tokens:       result.Tokens,
		CachedTokens: result.CachedTokens,
		Bytes:        result.Bytes,
		HeldFor:      result.HeldFor,
	})
	return nil
}

func (r *run) startTransfer(ctx context.Context, s tlwire.Step) (bool, error) {
	engine, ok := r.engine(s.Engine)
	if s.Attempt != r.attempt || !ok || engine == r.decodeEngine {
		r.relay.counters.Count(staleStep)
		return false, nil
	}
	if r.decodeEngine.IsValid() {
		r.relay.deps.Engines.Cancel(r.decodeEngine, r.attempt)
	}
	r.decodeEngine = engine
	stage, stop := r.enterStage(ctx, s.Attempt)
	defer stop()
	if err := r.transfer(stage, s, engine); err != nil {
		return false, r.transferEnded(ctx, stage, err)
	}
	r.report(tlwire.ReportKindTransferDone)
	return r.decode(ctx, stage, s, engine)
}

func (r *run) transfer(ctx context.Context, s tlwire.Step, engine netip.AddrPort) error {
	return r.relay.deps.Engines.Import(ctx, engine, tlwire.ImportRequest{
		Attempt:     s.Attempt,
		Request:     r.request.ID,
		Owner:       r.relay.deps.Name,
		Incarnation: r.relay.deps.Incarnation,
		Source:      r.prefillEngine,
		Handle:      r.prefill.Handle,
		Tokens:      r.prefill.Tokens,
		MaxTokens:   r.request.MaxTokens - r.delivered,
		Pieces:      s.Pieces,
	})
}

func (r *run) transferEnded(ctx, stage context.Context, err error) error {
	r.relay.deps.Engines.Cancel(r.decodeEngine, r.attempt)
	r.decodeEngine = netip.AddrPort{}
	if r.relay.deps.Engines.Stalled(err) {
		return r.stageFailed(ctx, stage, transferStalled, tlwire.Report{Kind: tlwire.ReportKindTransferStalled})
	}
	return r.stageFailed(ctx, stage, transferFailed, tlwire.Report{
		Kind:   tlwire.ReportKindTransferFailed,
		Reason: err.Error(),
	})
}

// stageFailed reports a failed stage to the home, unless the home, the caller or a
// takeover ended the stage.
func (r *run) stageFailed(ctx, stage context.Context, counter string, p tlwire.Report) error {
	if ctx.Err() != nil {
		return r.endedEarlyError(ctx)
	}
	if stage.Err() != nil {
		return nil
	}
	r.relay.counters.Count(counter)
	r.sendReport(p)
	return nil
}

func (r *run) refused(ctx context.Context, s tlwire.Step) (bool, error) {
	e := tlverdict.New(tlverdict.Reason(s.Reason), "pool %s refused the request", r.pool.Name)
	return false, r.refusal(ctx, e.WithRetryAfter(max(s.RetryAfter, time.Millisecond)))
}

// dropAttempt frees an attempt that the home abandoned; the next step starts another.
func (r *run) dropAttempt(_ context.Context, s tlwire.Step) (bool, error) {
	if s.Attempt != r.attempt {
		r.relay.counters.Count(staleStep)
		return false, nil
	}
	r.cancelAttempt()
	return false, nil
}

func (r *run) engine(name string) (netip.AddrPort, bool) {
	for _, e := range r.pool.Engines {
		if e.Name == name {
			return e.Address, true
		}
	}
	return netip.AddrPort{}, false
}
