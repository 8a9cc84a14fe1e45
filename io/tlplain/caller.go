package tlplain

import (
	"context"
	"time"

	"trefoillanding/core/tlclaim"
	"trefoillanding/core/tlverdict"
	"trefoillanding/core/tlwire"
	"trefoillanding/io/tlledger"
)

const (
	defaultTimeout     = 10 * time.Second
	defaultAnswerBytes = 16 << 10
	defaultRetryShare  = 0.1
	retryAfter         = time.Second
)

// Ledger is what a caller asks before it sends a call that must not repeat.
type Ledger struct {
	Claim   func(ctx context.Context, service, key string, d tlclaim.Digest) (tlledger.Claimed, error)
	Outcome func(c tlledger.Claimed, a *tlwire.StoredAnswer)
	Release func(c tlledger.Claimed)
}

// Options sets up a Caller.
type Options struct {
	// DataCentre is where this instance stands.
	DataCentre string
	// Leaving says whether the platform lists an endpoint as leaving.
	Leaving func(endpoint string) bool
	// Ledger keeps the claims.
	Ledger Ledger
	// Now returns the time.
	Now func() time.Time
	// Count raises a counter.
	Count func(name string)
}

// Caller sends calls of plain services to their endpoints.
type Caller struct {
	options Options
	board   *board
	budgets *budgets
	kept    sender
	fresh   sender
}

// New returns a caller.
func New(o Options) *Caller {
	return &Caller{
		options: o,
		board:   newBoard(o.DataCentre, o.Leaving),
		budgets: newBudgets(),
		kept:    newSender(),
		fresh:   newOnceSender(),
	}
}

// Close drops the idle connections.
func (c *Caller) Close() {
	c.kept.close()
	c.fresh.close()
}

// Do sends a call to an endpoint of the service and returns its whole answer;
// an error is a *tlverdict.Error.
func (c *Caller) Do(ctx context.Context, s tlwire.Service, call Call) (Answer, error) {
	if !isClean(call.Path) {
		return Answer{}, tlverdict.New(tlverdict.UnknownPath, "the path %q leads upwards", call.Path)
	}
	if repeatable(s.Calls, call.Method, call.Path) {
		c.options.Count(CountRepeatable)
		return c.repeat(ctx, s, call)
	}
	c.options.Count(CountOnce)
	return c.once(ctx, s, call)
}

// exchange makes one exchange with an endpoint and notes what it tells of it.
func (c *Caller) exchange(ctx context.Context, via sender, e tlwire.PlainEndpoint, call Call) sent {
	leave := c.board.enter(e.Name)
	defer leave()
	r := via.send(ctx, e.Address, call)
	switch {
	case r.isDraining():
		c.board.draining(c.options.Now(), e.Name)
	case r.isUnsent || r.isTimeout():
		c.board.suspect(c.options.Now(), e.Name)
	}
	return r
}

func noEndpoint(s tlwire.Service) error {
	return tlverdict.New(tlverdict.NoEndpoint, "no endpoint of %s takes calls now", s.Name).WithRetryAfter(retryAfter)
}

func failed(r sent) error {
	if r.isTimeout() {
		return tlverdict.New(tlverdict.EndpointTimeout, "the endpoint did not answer in time")
	}
	return tlverdict.New(tlverdict.EndpointFailed, "the endpoint's answer was lost: %v", r.err)
}

func timeout(s tlwire.Service) time.Duration {
	if s.Bounds == nil || s.Bounds.CallTimeout <= 0 {
		return defaultTimeout
	}
	return s.Bounds.CallTimeout
}

func answerBytes(s tlwire.Service) int {
	if s.Bounds == nil || s.Bounds.AnswerBytes <= 0 {
		return defaultAnswerBytes
	}
	return s.Bounds.AnswerBytes
}

func retryShare(s tlwire.Service) float64 {
	if s.Bounds == nil || s.Bounds.RetryShare <= 0 {
		return defaultRetryShare
	}
	return s.Bounds.RetryShare
}
