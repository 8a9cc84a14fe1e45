package tlsched

// shares counts the pieces of decode memory that each organisation holds.
type shares struct {
	weights map[string]float64
	held    map[string]int
	// weight is the total weight of all organisations that hold memory.
	weight float64
}

func newShares(weights map[string]float64) *shares {
	return &shares{weights: weights, held: make(map[string]int)}
}

func (s *shares) hold(organisation string, pieces int) {
	if s.held[organisation] == 0 {
		s.weight += s.weightOf(organisation)
	}
	s.held[organisation] += pieces
}

func (s *shares) release(organisation string, pieces int) {
	s.held[organisation] -= pieces
	if s.held[organisation] == 0 {
		delete(s.held, organisation)
		s.weight -= s.weightOf(organisation)
	}
}

// exceeds reports whether an organisation with the given number of pieces more would
// hold more than its share of the total, by weight among all organisations that hold
// some.
func (s *shares) exceeds(organisation string, more, total int) bool {
	n, w, all := s.held[organisation], s.weightOf(organisation), s.weight
	if n == 0 {
		all += w
	}
	return float64(n+more)*all > w*float64(total)
}

// setWeights replaces the organisations' weights.
func (s *shares) setWeights(weights map[string]float64) {
	s.weights = weights
	s.weight = 0
	for o := range s.held {
		s.weight += s.weightOf(o)
	}
}

func (s *shares) weightOf(organisation string) float64 {
	if w := s.weights[organisation]; w > 0 {
		return w
	}
	return 1
}
