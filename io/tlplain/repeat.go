package tlplain

import (
	"context"
	"net/http"
	"slices"

	"trefoillanding/core/tlwire"
)

// retryStatuses are answers by which an endpoint says that another may do better.
var retryStatuses = []int{
	http.StatusBadGateway,
	http.StatusServiceUnavailable,
	http.StatusGatewayTimeout,
}

// repeat sends a call that may run more than once, at each endpoint at most once.
func (c *Caller) repeat(ctx context.Context, s tlwire.Service, call Call) (Answer, error) {
	c.budgets.earn(s.Name, retryShare(s))
	ctx, cancel := context.WithTimeout(ctx, timeout(s))
	defer cancel()
	var last sent
	wasSent := false
	for i, e := range c.board.rank(c.options.Now(), s.Endpoints) {
		if i > 0 && !c.mayRetry(ctx, s, last) {
			break
		}
		last = c.exchange(ctx, c.kept, e, call)
		if last.err == nil && !slices.Contains(retryStatuses, last.answer.Status) {
			return last.answer, nil
		}
		wasSent = wasSent || !last.isUnsent
	}
	switch {
	case !wasSent:
		return Answer{}, noEndpoint(s)
	case last.err == nil:
		return last.answer, nil
	}
	return Answer{}, failed(last)
}

// mayRetry counts why a call is tried again and says whether the budget allows it.
func (c *Caller) mayRetry(ctx context.Context, s tlwire.Service, last sent) bool {
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

func retryReason(last sent) string {
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
