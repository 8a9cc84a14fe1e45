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

// inboxCapacity is how many steps may be queued for a request; when one is
// dropped, resubmitting the request brings it again.
const inboxCapacity = 4

// run is one request that is open here; fields that mu does not guard belong to its goroutine.
type run struct {
	relay   *Relay
	request Request
	out     Sink
	inbox   chan tlwire.Step
	taken   chan struct{}

	pool          tlwire.Pool
	spills        bool
	home          string
	baseTries     int
	attempt       string
	tries         int
	started       bool
	prefill       tlwire.PrefillResult
	unusedTokens  int
	prefillEngine netip.AddrPort
	decodeEngine  netip.AddrPort
	lastReport    tlwire.Report
	prefix        string
	firstIndex    int
	delivered     int
	text          strings.Builder
	hasFullText   bool

	mu           sync.Mutex
	stageAttempt string
	stopStage    context.CancelFunc
	isTaken      bool
}

func newRun(r *Relay, q Request, out Sink) *run {
	return &run{
		relay:       r,
		request:     q,
		out:         out,
		inbox:       make(chan tlwire.Step, inboxCapacity),
		taken:       make(chan struct{}),
		hasFullText: true,
	}
}

func (r *run) push(s tlwire.Step) {
	r.mu.Lock()
	if s.Kind == tlwire.StepKindAbandon && s.Attempt == r.stageAttempt && r.stopStage != nil {
		r.stopStage()
	}
	r.mu.Unlock()
	select {
	case r.inbox <- s:
	default:
		r.relay.counters.Count(staleStep)
	}
}

// takeOver ends a run whose caller reconnected on another connection.
func (r *run) takeOver() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isTaken = true
	close(r.taken)
	if r.stopStage != nil {
		r.stopStage()
	}
}

// currentAttempt returns the attempt last sent to an engine.
func (r *run) currentAttempt() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stageAttempt
}

// enterStage returns a context for a stage of an attempt that an Abandon step or
// a takeover can cancel.
func (r *run) enterStage(ctx context.Context, attempt string) (context.Context, context.CancelFunc) {
	ctx, stop := context.WithCancel(ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stageAttempt, r.stopStage = attempt, stop
	if r.isTaken {
		stop()
	}
	return ctx, stop
}

func (r *run) report(k tlwire.ReportKind) {
	r.sendReport(tlwire.Report{Kind: k})
}

func (r *run) sendReport(p tlwire.Report) {
	p.Pool, p.Request, p.Attempt = r.pool.Name, r.request.ID, r.attempt
	r.lastReport = p
	r.relay.deps.Homes.Report(p)
}

// verdict returns a pool's refusal, or RetriesSpent in place of a NotRun verdict,
// which would be wrong for a request that has already started.
func (r *run) verdict(e *tlverdict.Error) error {
	if !r.started || e.Verdict != tlwire.VerdictNotRun {
		return e
	}
	return tlverdict.New(tlverdict.RetriesSpent, "the request ran in part and could not go on: %s", e.Message).WithRetryAfter(e.RetryAfter)
}

func (r *run) endedEarlyError(ctx context.Context) error {
	if r.started {
		return tlverdict.New(tlverdict.EndpointTimeout, "the request ended early: %v", context.Cause(ctx))
	}
	return tlverdict.New(tlverdict.CallerGone, "the request ended early: %v", context.Cause(ctx))
}

func (r *run) takenOverError() error {
	r.relay.counters.Count(streamTaken)
	return tlverdict.New(tlverdict.StreamTaken, "the stream is read on another connection")
}

// abandon frees what a request that ended with err still holds at engines and its
// home, unless another connection has taken it over.
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

// cancelAttempt frees what the current attempt holds at engines and counts the
// tokens of a prefill that was not used.
func (r *run) cancelAttempt() {
	r.relay.counters.Add(wastedPrefill, int64(r.unusedTokens))
	r.unusedTokens = 0
	if r.prefillEngine.IsValid() {
		r.relay.deps.Engines.Cancel(r.prefillEngine, r.attempt)
	}
	if r.decodeEngine.IsValid() {
		r.relay.deps.Engines.Cancel(r.decodeEngine, r.attempt)
	}
	r.prefillEngine, r.decodeEngine = netip.AddrPort{}, netip.AddrPort{}
}

func (r *run) position(engine netip.AddrPort) tleventid.Position {
	return tleventid.Position{
		Request:    r.request.ID,
		Attempt:    r.attempt,
		Pool:       r.pool.Name,
		Engine:     engine,
		FirstIndex: r.firstIndex,
		BodyDigest: r.request.BodyDigest,
	}
}
