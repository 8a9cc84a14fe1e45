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
	defaultCallTimeout   = 10 * time.Second
	defaultAnswerBytes   = 16 << 10
	defaultRetryShare    = 0.1
	noEndpointRetryAfter = time.Second
)

// Ledger holds the functions by which a caller claims the key of a call that must
// not run twice, records its outcome or releases the claim.
type Ledger struct {
	Claim   func(ctx context.Context, service, key string, d tlclaim.Digest) (tlledger.ClaimResult, error)
	Outcome func(c tlledger.ClaimResult, a *tlwire.StoredAnswer)
	Release func(c tlledger.ClaimResult)
}

// Options sets up a Caller.
type Options struct {
	// DataCentre is the data centre of this instance.
	DataCentre string
	// Leaving reports whether the platform lists an endpoint as leaving.
	Leaving func(endpoint string) bool
	// Ledger claims the keys of calls that are not repeatable.
	Ledger Ledger
	// Now returns the current time.
	Now func() time.Time
	// Count adds one to the named counter.
	Count func(name string)
}

// Caller sends calls of plain services to their endpoints.
type Caller struct {
	options   Options
	endpoints *endpointTracker
	budgets   *budgets
	pooled    sender
	singleUse sender
}

// New returns a caller with the options.
func New(o Options) *Caller {
	return &Caller{
		options:   o,
		endpoints: newEndpointTracker(o.DataCentre, o.Leaving),
		budgets:   newBudgets(),
		pooled:    newPooledSender(),
		singleUse: newSingleUseSender(),
	}
}

// Close closes the idle connections.
func (c *Caller) Close() {
	c.pooled.close()
	c.singleUse.close()
}

// Do sends a call to an endpoint of the service and returns its whole answer;
// an error is a *tlverdict.Error.
func (c *Caller) Do(ctx context.Context, s tlwire.Service, call Call) (Answer, error) {
	if !isSafePath(call.Path) {
		return Answer{}, tlverdict.New(tlverdict.UnknownPath, "the path %q is not absolute or has a . or .. segment", call.Path)
	}
	if isRepeatable(s.Calls, call.Method, call.Path) {
		c.options.Count(CountRepeatable)
		return c.doRepeatable(ctx, s, call)
	}
	c.options.Count(CountNonRepeatable)
	return c.doNonRepeatable(ctx, s, call)
}

// exchange sends the call to one endpoint and records whether the endpoint is
// draining, could not be reached or timed out.
func (c *Caller) exchange(ctx context.Context, via sender, e tlwire.PlainEndpoint, call Call) exchangeResult {
	leave := c.endpoints.beginCall(e.Name)
	defer leave()
	r := via.send(ctx, e.Address, call)
	switch {
	case r.isDraining():
		c.endpoints.markDraining(c.options.Now(), e.Name)
	case r.isUnsent || r.isTimeout():
		c.endpoints.markSuspect(c.options.Now(), e.Name)
	}
	return r
}

func noEndpointError(s tlwire.Service) error {
	return tlverdict.New(tlverdict.NoEndpoint, "no endpoint of service %s is available", s.Name).WithRetryAfter(noEndpointRetryAfter)
}

func exchangeError(r exchangeResult) error {
	if r.isTimeout() {
		return tlverdict.New(tlverdict.EndpointTimeout, "the endpoint did not answer in time")
	}
	return tlverdict.New(tlverdict.EndpointFailed, "the endpoint's answer was lost: %v", r.err)
}

func callTimeout(s tlwire.Service) time.Duration {
	if s.Bounds == nil || s.Bounds.CallTimeout <= 0 {
		return defaultCallTimeout
	}
	return s.Bounds.CallTimeout
}

func maxStoredBytes(s tlwire.Service) int {
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
