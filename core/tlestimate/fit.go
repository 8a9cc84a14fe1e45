package tlestimate

// LinearFit fits a line to observed points, such as prefill time against tokens,
// with older points weighing less.
type LinearFit struct {
	decay               float64
	n, sx, sy, sxx, sxy float64
	minimum             float64
}

// NewLinearFit returns a fit that starts as a + b*x around the given x; a point's weight halves after halfAfter further points.
func NewLinearFit(a, b, x float64, halfAfter float64) *LinearFit {
	l := &LinearFit{decay: 1 - 1/(1.44*halfAfter), minimum: a / 10}
	l.Observe(0, a)
	l.Observe(x, a+b*x)
	return l
}

// Observe adds one point.
func (l *LinearFit) Observe(x, y float64) {
	l.n = l.n*l.decay + 1
	l.sx = l.sx*l.decay + x
	l.sy = l.sy*l.decay + y
	l.sxx = l.sxx*l.decay + x*x
	l.sxy = l.sxy*l.decay + x*y
}

// Coefficients returns the intercept and the slope, neither negative.
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

// At returns the predicted value at x, at least a tenth of the initial intercept.
func (l *LinearFit) At(x float64) float64 {
	a, b := l.Coefficients()
	return max(a+b*x, l.minimum)
}
