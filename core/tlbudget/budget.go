package tlbudget

// Budget is a token bucket that lets retries spend a share of the work of first
// attempts and a burst on top; it is not safe for concurrent use. The unit of work
// is the caller's.
type Budget struct {
	share float64
	burst float64
	level float64
}

// New returns a full budget; share is the part of first attempts' work that is
// earned, burst the most that is kept.
func New(share, burst float64) *Budget {
	return &Budget{share: share, burst: burst, level: burst}
}

// NewEmpty returns an empty budget with the parameters of New.
func NewEmpty(share, burst float64) *Budget {
	return &Budget{share: share, burst: burst}
}

// Refill adds work to the budget regardless of what was earned, up to the burst.
func (b *Budget) Refill(work float64) {
	b.level = min(b.level+work, b.burst)
}

// Earn adds the share of a first attempt's work, up to the burst.
func (b *Budget) Earn(work float64) {
	b.level = min(b.level+b.share*work, b.burst)
}

// Spend takes the work of a retry from the budget; it returns false and takes
// nothing if the budget is too small.
func (b *Budget) Spend(work float64) bool {
	if work > b.level {
		return false
	}
	b.level -= work
	return true
}

// Level returns the work that may be spent now.
func (b *Budget) Level() float64 {
	return b.level
}
