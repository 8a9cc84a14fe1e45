package tlgateway

import (
	"sync"
	"time"

	"trefoillanding/core/tlbudget"
)

// Allowance is what all instances together may send again to a service.
type Allowance struct {
	// Share is the part of fresh requests.
	Share float64
	// Burst is what is allowed beyond that in any span of Window.
	Burst  float64
	Window time.Duration
}

// RetryBudget bounds, for each service, what this instance sends again. Each
// instance has its part of the allowance, so that the parts add up without a
// message. Half of its burst may be saved up, and half comes back over a
// window, so that no span of that length sees more than the whole; a process
// begins with nothing, since the one before it may just have spent its own.
type RetryBudget struct {
	a     Allowance
	parts func() int
	now   func() time.Time

	mu        sync.Mutex
	byService map[string]*serviceBudget
}

type serviceBudget struct {
	*tlbudget.Budget
	filled time.Time
}

// NewBudget returns the budget of an instance; parts returns how many instances share the allowance.
func NewBudget(a Allowance, parts func() int, now func() time.Time) *RetryBudget {
	return &RetryBudget{a: a, parts: parts, now: now, byService: map[string]*serviceBudget{}}
}

// Open begins the budget of a service, so that it fills up before it is needed.
func (b *RetryBudget) Open(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.of(service)
}

// Earn counts a fresh request to a service.
func (b *RetryBudget) Earn(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.of(service).Earn(1)
}

// Spend takes sends from the budget of a service and says whether it had them.
func (b *RetryBudget) Spend(service string, sends int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.of(service).Spend(float64(sends))
}

// half returns the part of the burst that an instance may save up.
func (b *RetryBudget) half() float64 {
	return b.a.Burst / 2 / float64(max(b.parts(), 1))
}

func (b *RetryBudget) of(service string) *serviceBudget {
	now := b.now()
	s := b.byService[service]
	if s == nil {
		s = &serviceBudget{tlbudget.NewEmpty(b.a.Share, b.half()), now}
		b.byService[service] = s
	}
	s.Refill(b.half() * float64(now.Sub(s.filled)) / float64(b.a.Window))
	s.filled = now
	return s
}
