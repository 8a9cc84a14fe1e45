package tlmetric

import (
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// minMicroseconds and maxMicroseconds bound the values that a histogram distinguishes.
	minMicroseconds = 100
	maxMicroseconds = int64(time.Minute / time.Microsecond)
	// significantDigits is the precision; two digits keep a histogram at about 10 kB.
	significantDigits = 2
)

// quantiles lists the quantiles that a histogram reports.
var quantiles = []struct {
	name    string
	percent float64
}{{"50", 50}, {"90", 90}, {"99", 99}, {"999", 99.9}}

// Histogram records durations; it is safe for concurrent use.
type Histogram struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

// NewHistogram returns an empty histogram.
func NewHistogram() *Histogram {
	return &Histogram{h: hdrhistogram.New(minMicroseconds, maxMicroseconds, significantDigits)}
}

// Observe records a duration; values outside the bounds are recorded as the nearest bound.
func (h *Histogram) Observe(d time.Duration) {
	us := min(max(d.Microseconds(), minMicroseconds), maxMicroseconds)
	h.mu.Lock()
	defer h.mu.Unlock()
	// RecordValue fails only outside the bounds, and us is within them.
	_ = h.h.RecordValue(us)
}

// String returns the count, and the quantiles and the maximum in milliseconds, as JSON.
func (h *Histogram) String() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := fmt.Sprintf(`{"Count": %d`, h.h.TotalCount())
	for _, q := range quantiles {
		s += fmt.Sprintf(`, "P%sMs": %.1f`, q.name, float64(h.h.ValueAtQuantile(q.percent))/1000)
	}
	return s + fmt.Sprintf(`, "MaxMs": %.1f}`, float64(h.h.Max())/1000)
}
