package tlrelay

import (
	"context"
	"errors"
	"time"

	"trefoillanding/core/tlprompt"
	"trefoillanding/core/tlverdict"
	"trefoillanding/core/tlwire"
)

// mostPause is the longest wait before the pools are tried again.
const mostPause = time.Second

// serve tries the pools until one takes the request. One that has begun is not
// given up before the service's longest wait: engines may come back.
func (r *run) serve(ctx context.Context) error {
	start := r.relay.deps.Now()
	for {
		err := r.everyPool(ctx)
		var v *refusal
		if !errors.As(err, &v) {
			return err
		}
		if !r.started || r.relay.deps.Now().Sub(start) > r.request.RetryTimeout {
			return r.verdict(v.verdict)
		}
		if err := r.pause(ctx, v.verdict.RetryAfter); err != nil {
			return err
		}
	}
}

// everyPool tries each pool once, best first.
func (r *run) everyPool(ctx context.Context) error {
	var err error = &refusal{tlverdict.New(tlverdict.NoEndpoint, "no pool serves %s", r.request.Service.Name)}
	pools := r.relay.deps.Pools(r.request)
	for i, p := range pools {
		if i > 0 {
			r.relay.counters.Count(spilled)
		}
		r.pool, r.spills = p, i+1 < len(pools)
		err = r.inPool(ctx)
		var v *refusal
		if !errors.As(err, &v) {
			return err
		}
	}
	return err
}

// pause waits before the pools are tried again.
func (r *run) pause(ctx context.Context, d time.Duration) error {
	r.relay.counters.Count(paused)
	select {
	case <-time.After(min(d, mostPause)):
		return nil
	case <-ctx.Done():
		return r.gone(ctx)
	case <-r.taken:
		return r.takenOver()
	}
}

// inPool lets the pool's home guide the request to its end.
func (r *run) inPool(ctx context.Context) error {
	r.restart()
	if err := r.submit(ctx); err != nil {
		r.report(tlwire.ReportKindCancelled)
		return r.refusal(ctx, err)
	}
	for {
		s, err := r.next(ctx)
		if err != nil {
			return err
		}
		done, err := r.take(ctx, s)
		if done || err != nil {
			return err
		}
	}
}

// refusal lets the request go to another pool, unless its caller is gone.
func (r *run) refusal(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return r.gone(ctx)
	}
	return &refusal{tlverdict.Of(err)}
}

// restart makes the next submission a new one for the pool's present home.
func (r *run) restart() {
	r.cancelAttempt()
	r.attempt, r.last = "", tlwire.Report{}
	r.home, r.base = r.relay.deps.Homes.Name(r.pool), r.tries
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
		Tries:        r.base,
		Spills:       r.spills && r.delivered == 0,
	})
}

// next waits for a step and asks the home again when none comes, since the home may have changed.
func (r *run) next(ctx context.Context) (tlwire.Step, error) {
	again := time.NewTicker(r.relay.deps.ResubmitAfter)
	defer again.Stop()
	for {
		select {
		case s := <-r.inbox:
			return s, nil
		case <-ctx.Done():
			return tlwire.Step{}, r.gone(ctx)
		case <-r.taken:
			return tlwire.Step{}, r.takenOver()
		case <-again.C:
			r.ask(ctx)
		}
	}
}

// ask repeats the submission; a home that can't be reached is asked again later.
func (r *run) ask(ctx context.Context) {
	r.relay.counters.Count(askedAgain)
	if r.home != r.relay.deps.Homes.Name(r.pool) {
		r.relay.counters.Count(homeChanged)
		r.restart()
	}
	_ = r.submit(ctx)
}
