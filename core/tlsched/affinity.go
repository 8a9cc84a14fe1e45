package tlsched

// blockTokens is the number of tokens in a block of the prefix cache.
const blockTokens = 256

// match returns how many leading blocks of a prompt each engine probably holds.
func (s *Scheduler) match(r *request) []float64 {
	if !s.options.PrefixAffinity {
		return s.prefixes.Match(nil)
	}
	return s.prefixes.Match(r.Blocks)
}
