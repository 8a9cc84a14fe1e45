package tlsched

// blockTokens is the number of tokens in a block of the prefix cache.
const blockTokens = 256

// cachedBlocks returns how many leading blocks of the prompt each engine probably caches.
func (s *Scheduler) cachedBlocks(r *request) []float64 {
	if !s.options.PrefixAffinity {
		return s.prefixes.Match(nil)
	}
	return s.prefixes.Match(r.Blocks)
}
