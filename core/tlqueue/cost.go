package tlqueue

// Cost is the predicted use of a pool by a request, in seconds of the whole pool's prefill engines, links and decode memory.
type Cost struct {
	Prefill float64
	Link    float64
	Decode  float64
}

// Sum returns the total that an organisation is charged, in seconds.
func (c Cost) Sum() float64 {
	return c.Prefill + c.Link + c.Decode
}

// Bottleneck returns the largest part, in seconds, which is the least time that the pool needs.
func (c Cost) Bottleneck() float64 {
	return max(c.Prefill, c.Link, c.Decode)
}

// Plus returns the sum of two costs.
func (c Cost) Plus(d Cost) Cost {
	return Cost{c.Prefill + d.Prefill, c.Link + d.Link, c.Decode + d.Decode}
}

// Minus returns the difference of two costs, with negative parts set to zero.
func (c Cost) Minus(d Cost) Cost {
	return Cost{max(c.Prefill-d.Prefill, 0), max(c.Link-d.Link, 0), max(c.Decode-d.Decode, 0)}
}
