package tlrelay

import (
	"context"
	"net/netip"
	"strings"
	"sync"

	"trefoillanding/core/tleventid"
	"trefoillanding/core/tlverdict"
	"trefoillanding/core/tlwire"
)

// inboxSteps is how many steps may wait for a request; a lost one is asked for again.
const inboxSteps = 4

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
	return tlverdict.New(tlverdict.RetriesSpent, "the request ran in part and could not go on: %s", e.Message).WithRetryAfter(e.RetryAfter)
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
		Request:    r.request.ID,
		Attempt:    r.attempt,
		Pool:       r.pool.Name,
		Engine:     engine,
		FirstIndex: r.first,
		BodyDigest: r.request.BodyDigest,
	}
}
