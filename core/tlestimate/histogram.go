package tlestimate

import "math"

const (
	buckets          = 48
	bucketsPerDouble = 3
	// halfWeight is the number of answers after which an older one counts half.
	halfWeight = 200
)

var decay = math.Exp2(-1.0 / halfWeight)

// histogram holds decaying counts of answer lengths in buckets whose bounds grow by a constant factor.
type histogram struct {
	counts [buckets]float64
	total  float64
	sum    float64
	unit   float64
}

func bucketOf(tokens int) int {
	b := int(math.Ceil(math.Log2(float64(max(tokens, 1))) * bucketsPerDouble))
	return min(b, buckets-1)
}

// bound returns the largest length in a bucket.
func bound(b int) float64 {
	return math.Exp2(float64(b) / bucketsPerDouble)
}

// observe adds one length; instead of ageing all others, each new one weighs more.
func (h *histogram) observe(tokens int) {
	if h.unit == 0 {
		h.unit = 1
	}
	h.unit /= decay
	h.counts[bucketOf(tokens)] += h.unit
	h.total += h.unit
	h.sum += h.unit * float64(tokens)
	if h.unit > 1e100 {
		h.rescale()
	}
}

func (h *histogram) rescale() {
	for i := range h.counts {
		h.counts[i] /= h.unit
	}
	h.total /= h.unit
	h.sum /= h.unit
	h.unit = 1
}

// weight returns how many recent lengths the histogram stands for.
func (h *histogram) weight() float64 {
	if h == nil || h.unit == 0 {
		return 0
	}
	return h.total / h.unit
}

// share returns the part of all lengths that fall into a bucket.
func (h *histogram) share(b int) float64 {
	if h == nil || h.total == 0 {
		return 0
	}
	return h.counts[b] / h.total
}

func (h *histogram) mean() float64 {
	if h == nil || h.total == 0 {
		return 0
	}
	return h.sum / h.total
}
