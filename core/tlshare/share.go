package tlshare

// Share is an exponentially weighted moving average, from 0 to 1, of the cases in
// which something happened; later cases weigh more than earlier ones.
type Share float64

// AddHit adds a case in which it happened, with a weight from 0 to 1.
func (s *Share) AddHit(weight float64) {
	*s += Share(weight) * (1 - *s)
}

// AddMiss adds a case in which it did not happen, with a weight from 0 to 1.
func (s *Share) AddMiss(weight float64) {
	*s -= Share(weight) * *s
}
