package tlplain

import (
	"context"
	"net/http"
	"slices"

	"trefoillanding/core/tlwire"
)

// retryStatuses are the statuses after which another endpoint may succeed.
var retryStatuses = []int{
	http.StatusBadGateway,
	http.StatusServiceUnavailable,
	http.StatusGatewayTimeout,
}

// doRepeatable sends a call that may run more than once, to each endpoint at most once.
func (c *Caller) doRepeatable(ctx context.Context, s tlwire.Service, call Call) (Answer, error) {
	c.budgets.earn(s.Name, retryShare(s))
	ctx, cancel := context.WithTimeout(ctx, callTimeout(s))
	defer cancel()
	var last exchangeResult
	wasSent := false
	for i, e := range c.endpoints.rank(c.options.Now(), s.Endpoints) {
		if i > 0 && !c.mayRetry(ctx, s, last) {
			break
		}
		last = c.exchange(ctx, c.pooled, e, call)
		if last.err == nil && !slices.Contains(retryStatuses, last.answer.Status) {
			return last.answer, nil
		}
		wasSent = wasSent || !last.isUnsent
	}
	switch {
	case !wasSent:
		return Answer{}, noEndpointError(s)
	case last.err == nil:
		return last.answer, nil
	}
	return Answer{}, exchangeError(last)
}

// mayRetry reports whether a call may be retried and counts the reason. Only a
// retry of a call that an endpoint may have run takes from the budget.
func (c *Caller) mayRetry(ctx context.Context, s tlwire.Service, last exchangeResult) bool {
	if ctx.Err() != nil {
		return false
	}
	if !last.isUnsent && !last.isDraining() && !c.budgets.spend(s.Name) {
		c.options.Count(CountBudgetSpent)
		return false
	}
	c.options.Count(retryReason(last))
	return true
}

func retryReason(last exchangeResult) string {
	switch {
	case last.isUnsent:
		return CountRetryUnsent
	case last.isDraining():
		return CountRetryDraining
	case last.err == nil:
		return CountRetryStatus
	}
	return CountRetryFailed
}
