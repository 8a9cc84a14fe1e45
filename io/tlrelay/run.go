package tlrelay

import (
	"context"
	"errors"
	"net/netip"
	"strings"
	"sync"
	"time"

	"trefoillanding/core/tleventid"
	"trefoillanding/core/tlprompt"
	"trefoillanding/core/tlverdict"
	"trefoillanding/core/tlwire"
)

const inboxSteps = 16

// mostPause is the longest wait before the pools are tried again.
const mostPause = time.Second

// run is one request that is open here; only its own goroutine touches what mu does not guard.
type run struct {
	relay   *Relay
	request Request
	out     Sink
	inbox   chan tlwire.Step
	taken   chan struct{}

	pool      tlwire.Pool
	spills    bool
	home      string
	base      int
	attempt   string
	tries     int
	started   bool
	prefill   tlwire.PrefillResult
	unused    int
	prefilled netip.AddrPort
	decoding  netip.AddrPort
	last      tlwire.Report
	prefix    string
	first     int
	delivered int
	text      strings.Builder
	hasText   bool

	mu        sync.Mutex
	stage     string
	interrupt context.CancelFunc
	isTaken   bool
}

func newRun(r *Relay, q Request, out Sink) *run {
	return &run{
		relay:   r,
		request: q,
		out:     out,
		inbox:   make(chan tlwire.Step, inboxSteps),
		taken:   make(chan struct{}),
		hasText: true,
	}
}

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
		if !r.started || r.relay.deps.Now().Sub(start) > r.request.Patience {
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
	again := time.NewTicker(r.relay.deps.AskAgain)
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

func (r *run) push(s tlwire.Step) {
	r.mu.Lock()
	if s.Kind == tlwire.StepKindAbandon && s.Attempt == r.stage && r.interrupt != nil {
		r.interrupt()
	}
	r.mu.Unlock()
	select {
	case r.inbox <- s:
	default:
		r.relay.counters.Count(staleStep)
	}
}

// takeOver ends a run whose caller came back on another connection.
func (r *run) takeOver() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isTaken = true
	close(r.taken)
	if r.interrupt != nil {
		r.interrupt()
	}
}

// current returns the attempt that an engine was last asked for.
func (r *run) current() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stage
}

// enter bounds a stage of an attempt so that a step or a takeover can end it early.
func (r *run) enter(ctx context.Context, attempt string) (context.Context, context.CancelFunc) {
	ctx, stop := context.WithCancel(ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stage, r.interrupt = attempt, stop
	if r.isTaken {
		stop()
	}
	return ctx, stop
}

func (r *run) report(k tlwire.ReportKind) {
	r.send(tlwire.Report{Kind: k})
}

func (r *run) send(p tlwire.Report) {
	p.Pool, p.Request, p.Attempt = r.pool.Name, r.request.ID, r.attempt
	r.last = p
	r.relay.deps.Homes.Report(p)
}

// verdict turns a refusal into one that is true of this request.
func (r *run) verdict(e *tlverdict.Error) error {
	if !r.started || e.Verdict != tlwire.VerdictNotRun {
		return e
	}
	return tlverdict.New(tlverdict.RetriesSpent, "the request ran in part and could not go on: %s", e.Message).After(e.RetryAfter)
}

func (r *run) gone(ctx context.Context) error {
	if r.started {
		return tlverdict.New(tlverdict.EndpointTimeout, "the request ended early: %v", context.Cause(ctx))
	}
	return tlverdict.New(tlverdict.CallerGone, "the request ended early: %v", context.Cause(ctx))
}

func (r *run) takenOver() error {
	r.relay.counters.Count(streamTaken)
	return tlverdict.New(tlverdict.StreamTaken, "the stream is read on another connection")
}

// abandon frees whatever a request that ends with err still holds.
func (r *run) abandon(err error) {
	if tlverdict.Of(err).Reason == tlverdict.StreamTaken {
		return
	}
	r.relay.counters.Count(abandoned)
	r.cancelAttempt()
	if r.pool.Name != "" {
		r.report(tlwire.ReportKindCancelled)
	}
}

// cancelAttempt frees what the current attempt holds at engines and counts a prefill that was in vain.
func (r *run) cancelAttempt() {
	r.relay.counters.Add(wastedPrefill, int64(r.unused))
	r.unused = 0
	if r.prefilled.IsValid() {
		r.relay.deps.Engines.Cancel(r.prefilled, r.attempt)
	}
	if r.decoding.IsValid() {
		r.relay.deps.Engines.Cancel(r.decoding, r.attempt)
	}
	r.prefilled, r.decoding = netip.AddrPort{}, netip.AddrPort{}
}

func (r *run) position(engine netip.AddrPort) tleventid.Position {
	return tleventid.Position{
		Request: r.request.ID,
		Attempt: r.attempt,
		Pool:    r.pool.Name,
		Engine:  engine,
		First:   r.first,
		Body:    r.request.Body,
	}
}
