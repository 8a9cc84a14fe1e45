package tlplain

import (
	"sync"

	"trefoillanding/core/tlbudget"
)

const retryBurst = 10

// budgets holds the retry budget of each service.
type budgets struct {
	mu     sync.Mutex
	byName map[string]*shared
}

type shared struct {
	share  float64
	budget *tlbudget.Budget
}

func newBudgets() *budgets {
	return &budgets{byName: map[string]*shared{}}
}

// earn adds the share of one fresh call.
func (b *budgets) earn(service string, share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	v, ok := b.byName[service]
	if !ok || v.share != share {
		v = &shared{share: share, budget: tlbudget.New(share, retryBurst)}
		b.byName[service] = v
	}
	v.budget.Earn(1)
}

// spend says whether the service's budget had a retry.
func (b *budgets) spend(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	v, ok := b.byName[service]
	return ok && v.budget.Spend(1)
}
