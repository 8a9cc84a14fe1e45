package tlestimate

// Lengths estimates the length of an answer, in tokens, from earlier answers of
// the same organisation and of the same model.
type Lengths struct {
	prior  int
	models map[string]*histogram
	own    map[key]*histogram
}

type key struct {
	organisation string
	model        string
}

const (
	// equalWeightAnswers is the number of answers at which an organisation's own lengths count as much as the model's.
	equalWeightAnswers = 20
	// maxKeys bounds the pairs of organisation and model that have estimates of their own.
	maxKeys = 8192
)

// NewLengths returns an estimator that assumes the given length, in tokens, for a model without observations.
func NewLengths(prior int) *Lengths {
	return &Lengths{
		prior:  prior,
		models: make(map[string]*histogram),
		own:    make(map[key]*histogram),
	}
}

// Observe records the length of a complete answer, in tokens.
func (l *Lengths) Observe(organisation, model string, tokens int) {
	m := l.models[model]
	if m == nil {
		m = &histogram{}
		l.models[model] = m
	}
	m.observe(tokens)
	k := key{organisation, model}
	o := l.own[k]
	if o == nil {
		if len(l.own) >= maxKeys {
			return
		}
		o = &histogram{}
		l.own[k] = o
	}
	o.observe(tokens)
}

// Quantile returns the length in tokens that a fraction q of answers doesn't exceed,
// given that the length of this one is at least passed and at most limit.
func (l *Lengths) Quantile(organisation, model string, q float64, passed, limit int) int {
	m, o := l.models[model], l.own[key{organisation, model}]
	if m == nil {
		return min(max(l.prior, passed), limit)
	}
	own := o.weight() / (o.weight() + equalWeightAnswers)
	first := bucketOf(passed)
	left := 0.0
	for b := first; b < buckets; b++ {
		left += own*o.share(b) + (1-own)*m.share(b)
	}
	want := q * left
	for b := first; b < buckets && left > 0; b++ {
		want -= own*o.share(b) + (1-own)*m.share(b)
		if want <= 0 {
			return min(max(int(upperBound(b)), passed), limit)
		}
	}
	return min(passed+max(passed/2, 1), limit)
}

// Mean returns the mean length in tokens, at most limit.
func (l *Lengths) Mean(organisation, model string, limit int) float64 {
	m, o := l.models[model], l.own[key{organisation, model}]
	if m == nil {
		return float64(min(l.prior, limit))
	}
	own := o.weight() / (o.weight() + equalWeightAnswers)
	return min(own*o.mean()+(1-own)*m.mean(), float64(limit))
}
