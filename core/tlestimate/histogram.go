package tlestimate

import "math"

const (
	buckets            = 48
	bucketsPerDoubling = 3
	// halfLifeAnswers is the number of later answers after which an observation's weight has halved.
	halfLifeAnswers = 200
)

var decayPerAnswer = math.Exp2(-1.0 / halfLifeAnswers)

// histogram holds decaying counts of answer lengths, in tokens, in buckets whose bounds grow by a constant factor.
type histogram struct {
	counts       [buckets]float64
	total        float64
	sum          float64
	newestWeight float64
}

func bucketOf(tokens int) int {
	b := int(math.Ceil(math.Log2(float64(max(tokens, 1))) * bucketsPerDoubling))
	return min(b, buckets-1)
}

// upperBound returns the largest length in a bucket, in tokens.
func upperBound(b int) float64 {
	return math.Exp2(float64(b) / bucketsPerDoubling)
}

// observe adds one length; instead of decaying all earlier counts, each new one gets a larger weight.
func (h *histogram) observe(tokens int) {
	if h.newestWeight == 0 {
		h.newestWeight = 1
	}
	h.newestWeight /= decayPerAnswer
	h.counts[bucketOf(tokens)] += h.newestWeight
	h.total += h.newestWeight
	h.sum += h.newestWeight * float64(tokens)
	if h.newestWeight > 1e100 {
		h.rescale()
	}
}

func (h *histogram) rescale() {
	for i := range h.counts {
		h.counts[i] /= h.newestWeight
	}
	h.total /= h.newestWeight
	h.sum /= h.newestWeight
	h.newestWeight = 1
}

// weight returns the effective number of observations, after decay.
func (h *histogram) weight() float64 {
	if h == nil || h.newestWeight == 0 {
		return 0
	}
	return h.total / h.newestWeight
}

// share returns the fraction of all lengths that fall into a bucket.
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
