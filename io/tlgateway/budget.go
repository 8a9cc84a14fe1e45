package tlgateway

import (
	"sync"
	"time"

	"trefoillanding/core/tlbudget"
)

// RetryAllowance bounds the retries that all instances together send to a service.
type RetryAllowance struct {
	// Share is the number of retries allowed for each new request.
	Share float64
	// Burst is the number of retries allowed beyond that in any span of Window.
	Burst  float64
	Window time.Duration
}

// Saved returns the most retries that one of some instances may save up.
func (a RetryAllowance) Saved(instances int) float64 {
	return a.Burst / 2 / float64(max(instances, 1))
}

// RetryBudget bounds the retries of this instance for each service. Each
// instance has an equal part of the allowance, so the total holds without
// messages between instances. Half of its burst may be saved up and half is
// refilled over a window, so no span of that length exceeds the whole. A new
// process starts empty, since its predecessor may just have spent its budget.
type RetryBudget struct {
	allowance RetryAllowance
	instances func() int
	now       func() time.Time

	mu        sync.Mutex
	byService map[string]*serviceBudget
}

type serviceBudget struct {
	*tlbudget.Budget
	refilledAt time.Time
}

// NewRetryBudget returns the budget of an instance; instances returns how many instances share the allowance.
func NewRetryBudget(a RetryAllowance, instances func() int, now func() time.Time) *RetryBudget {
	return &RetryBudget{allowance: a, instances: instances, now: now, byService: map[string]*serviceBudget{}}
}

// AddService creates the budget of a service, so that it fills before it is needed.
func (b *RetryBudget) AddService(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refilled(service)
}

// Earn adds the share of one new request to the budget of a service.
func (b *RetryBudget) Earn(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refilled(service).Earn(1)
}

// Spend takes sends from the budget of a service and reports whether it had enough.
func (b *RetryBudget) Spend(service string, sends int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.refilled(service).Spend(float64(sends))
}

// halfBurst returns half of this instance's burst, which is the most it may save up.
func (b *RetryBudget) halfBurst() float64 {
	return b.allowance.Saved(b.instances())
}

// refilled returns the budget of a service, refilled up to now; b is locked.
func (b *RetryBudget) refilled(service string) *serviceBudget {
	now := b.now()
	s := b.byService[service]
	if s == nil {
		s = &serviceBudget{tlbudget.NewEmpty(b.allowance.Share, b.halfBurst()), now}
		b.byService[service] = s
	}
	s.Refill(b.halfBurst() * float64(now.Sub(s.refilledAt)) / float64(b.allowance.Window))
	s.refilledAt = now
	return s
}
