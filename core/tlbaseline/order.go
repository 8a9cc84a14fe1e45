package tlbaseline

// byFairness orders resumed requests first, then those of the organisation with the
// least service relative to its weight, then by earliest target.
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

// bySize orders resumed requests first, then those with the lowest cost (memory
// times answer length).
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
