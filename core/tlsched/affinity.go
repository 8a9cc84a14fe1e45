package tlsched

// blockTokens is the number of tokens in a block of the prefix cache.
const blockTokens = 256

// match returns how many leading blocks of a prompt each engine probably holds.
func (s *Scheduler) match(r *request) []float64 {
	if !s.options.Prefix {
		return s.prefixes.Match(nil)
	}
	return s.prefixes.Match(r.Blocks)
}

// cached returns the most tokens of a prompt that an engine probably holds.
func (s *Scheduler) cached(r *request) float64 {
	b := 0.0
	for _, n := range s.match(r) {
		b = max(b, n)
	}
	return b * blockTokens
}
