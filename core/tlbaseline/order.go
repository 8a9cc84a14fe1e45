package tlbaseline

// byFairness puts resumed requests first, then those of the organisation least
// served by its weight, then the most urgent.
func byFairness(o *Oracle, p, q *plan) int {
	if p.Delivered > 0 != (q.Delivered > 0) {
		return q.Delivered - p.Delivered
	}
	if p.Organisation != q.Organisation {
		v, w := o.served[p.Organisation], o.served[q.Organisation]
		if v != w {
			return sign(v - w)
		}
	}
	return p.Due.Compare(q.Due)
}

// bySize puts resumed requests first, then those that take the least memory and time.
func bySize(_ *Oracle, p, q *plan) int {
	if p.Delivered > 0 != (q.Delivered > 0) {
		return q.Delivered - p.Delivered
	}
	return sign(p.cost - q.cost)
}

func sign(v float64) int {
	switch {
	case v < 0:
		return -1
	case v > 0:
		return 1
	default:
		return 0
	}
}
