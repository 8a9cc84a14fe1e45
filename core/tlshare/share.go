package tlshare

// Share is the average share of cases, from 0 to 1, in which something
// happened; later cases weigh more than earlier ones.
type Share float64

// AddHit takes in a case in which it happened, with a weight from 0 to 1.
func (s *Share) AddHit(weight float64) {
	*s += Share(weight) * (1 - *s)
}

// AddMiss takes in a case in which it did not happen, with a weight from 0 to 1.
func (s *Share) AddMiss(weight float64) {
	*s -= Share(weight) * *s
}
