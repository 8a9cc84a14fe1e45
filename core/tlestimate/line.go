package tlestimate

// LinearFit learns a linear relation, such as the time of a prefill from its tokens,
// with older points weighing less.
type LinearFit struct {
	keep                float64
	n, sx, sy, sxx, sxy float64
	least               float64
}

// NewLinearFit returns a line that starts as a + b*x around the given x; a point's weight falls by half after so many further ones.
func NewLinearFit(a, b, x float64, halfAfter float64) *LinearFit {
	l := &LinearFit{keep: 1 - 1/(1.44*halfAfter), least: a / 10}
	l.Observe(0, a)
	l.Observe(x, a+b*x)
	return l
}

// Observe learns one point.
func (l *LinearFit) Observe(x, y float64) {
	l.n = l.n*l.keep + 1
	l.sx = l.sx*l.keep + x
	l.sy = l.sy*l.keep + y
	l.sxx = l.sxx*l.keep + x*x
	l.sxy = l.sxy*l.keep + x*y
}

// Coefficients returns the intercept and the slope, neither below zero.
func (l *LinearFit) Coefficients() (a, b float64) {
	d := l.n*l.sxx - l.sx*l.sx
	if d > 1e-9*l.n*l.sxx {
		b = max((l.n*l.sxy-l.sx*l.sy)/d, 0)
	}
	a = (l.sy - b*l.sx) / l.n
	if a < 0 && l.sx > 0 {
		return 0, l.sy / l.sx
	}
	return a, b
}

// At returns the value at x.
func (l *LinearFit) At(x float64) float64 {
	a, b := l.Coefficients()
	return max(a+b*x, l.least)
}
