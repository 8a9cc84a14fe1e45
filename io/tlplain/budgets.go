package tlplain

import (
	"sync"

	"trefoillanding/core/tlbudget"
)

// retryBurstCalls is the most retries that a service's budget can save up.
const retryBurstCalls = 10

// budgets holds the retry budget of each service.
type budgets struct {
	mu     sync.Mutex
	byName map[string]*serviceBudget
}

// serviceBudget is a service's retry budget with the share that it was made with.
type serviceBudget struct {
	share  float64
	budget *tlbudget.Budget
}

func newBudgets() *budgets {
	return &budgets{byName: map[string]*serviceBudget{}}
}

// earn adds the share of one new call to the service's budget; a changed share
// starts a new budget.
func (b *budgets) earn(service string, share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	v, ok := b.byName[service]
	if !ok || v.share != share {
		v = &serviceBudget{share: share, budget: tlbudget.New(share, retryBurstCalls)}
		b.byName[service] = v
	}
	v.budget.Earn(1)
}

// spend takes one retry from the service's budget and reports whether it had one.
func (b *budgets) spend(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	v, ok := b.byName[service]
	return ok && v.budget.Spend(1)
}
