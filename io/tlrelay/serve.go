package tlrelay

import (
	"context"
	"errors"
	"time"

	"trefoillanding/core/tlprompt"
	"trefoillanding/core/tlverdict"
	"trefoillanding/core/tlwire"
)

// maxRetryDelay is the longest delay before the pools are tried again.
const maxRetryDelay = time.Second

// serve tries the pools until one serves the request. A request that has started
// is retried until RetryTimeout has passed, since engines may come back.
func (r *run) serve(ctx context.Context) error {
	start := r.relay.deps.Now()
	for {
		err := r.tryPools(ctx)
		var v *refusal
		if !errors.As(err, &v) {
			return err
		}
		if !r.started || r.relay.deps.Now().Sub(start) > r.request.RetryTimeout {
			return r.verdict(v.verdict)
		}
		if err := r.waitBeforeRetry(ctx, v.verdict.RetryAfter); err != nil {
			return err
		}
	}
}

// tryPools tries each pool once, best first, until one does not refuse.
func (r *run) tryPools(ctx context.Context) error {
	var err error = &refusal{tlverdict.New(tlverdict.NoEndpoint, "no pool serves %s", r.request.Service.Name)}
	pools := r.relay.deps.Pools(r.request)
	for i, p := range pools {
		if i > 0 {
			r.relay.counters.Count(spilled)
		}
		r.pool, r.spills = p, i+1 < len(pools)
		err = r.runInPool(ctx)
		var v *refusal
		if !errors.As(err, &v) {
			return err
		}
	}
	return err
}

// waitBeforeRetry waits for d, at most maxRetryDelay, before the pools are tried again.
func (r *run) waitBeforeRetry(ctx context.Context, d time.Duration) error {
	r.relay.counters.Count(paused)
	select {
	case <-time.After(min(d, maxRetryDelay)):
		return nil
	case <-ctx.Done():
		return r.endedEarlyError(ctx)
	case <-r.taken:
		return r.takenOverError()
	}
}

// runInPool submits the request to the pool's home and carries out the home's
// steps until the request ends.
func (r *run) runInPool(ctx context.Context) error {
	r.resetSubmission()
	if err := r.submit(ctx); err != nil {
		r.report(tlwire.ReportKindCancelled)
		return r.refusal(ctx, err)
	}
	for {
		s, err := r.nextStep(ctx)
		if err != nil {
			return err
		}
		done, err := r.carryOut(ctx, s)
		if done || err != nil {
			return err
		}
	}
}

// refusal returns an error that sends the request to another pool, unless its context has ended.
func (r *run) refusal(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return r.endedEarlyError(ctx)
	}
	return &refusal{tlverdict.Of(err)}
}

// resetSubmission cancels the attempt and makes the next submission a new one for
// the pool's present home.
func (r *run) resetSubmission() {
	r.cancelAttempt()
	r.attempt, r.lastReport = "", tlwire.Report{}
	r.home, r.baseTries = r.relay.deps.Homes.Name(r.pool), r.tries
}

func (r *run) submit(ctx context.Context) error {
	q := r.request
	return r.relay.deps.Homes.Submit(ctx, tlwire.Submission{
		Pool:         r.pool.Name,
		Request:      q.ID,
		Owner:        r.relay.deps.Name,
		Incarnation:  r.relay.deps.Incarnation,
		Organisation: q.Organisation,
		Model:        q.Model,
		PromptTokens: tlprompt.Tokens(q.Prompt) + r.delivered,
		MaxTokens:    q.MaxTokens - r.delivered,
		Delivered:    r.delivered,
		Blocks:       tlprompt.Blocks(q.Prompt),
		Arrived:      q.Arrived,
		Due:          q.Due,
		Tries:        r.baseTries,
		Spills:       r.spills && r.delivered == 0,
	})
}

// nextStep waits for a step and resubmits the request when none arrives within
// ResubmitAfter, since the home may have changed.
func (r *run) nextStep(ctx context.Context) (tlwire.Step, error) {
	again := time.NewTicker(r.relay.deps.ResubmitAfter)
	defer again.Stop()
	for {
		select {
		case s := <-r.inbox:
			return s, nil
		case <-ctx.Done():
			return tlwire.Step{}, r.endedEarlyError(ctx)
		case <-r.taken:
			return tlwire.Step{}, r.takenOverError()
		case <-again.C:
			r.resubmit(ctx)
		}
	}
}

// resubmit repeats the submission; its error is ignored, since nextStep tries again later.
func (r *run) resubmit(ctx context.Context) {
	r.relay.counters.Count(askedAgain)
	if r.home != r.relay.deps.Homes.Name(r.pool) {
		r.relay.counters.Count(homeChanged)
		r.resetSubmission()
	}
	_ = r.submit(ctx)
}
