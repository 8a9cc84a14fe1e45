package tlcapacity

import "fmt"

// Total is what the rows of a limit and path cost together.
type Total struct {
	Limit Limit
	Path  Path
	Value float64
}

// Totals sums up rows, by limit and then by path; paths without rows are left
// out, and of the rows of few nodes, which are different nodes, the largest counts.
func Totals(rows []Row) []Total {
	var out []Total
	for l := range limits {
		for p := range paths {
			t := Total{Limit: Limit(l), Path: Path(p)}
			for _, r := range rows {
				if r.Limit == t.Limit && r.Path == t.Path {
					t.add(r)
				}
			}
			if t.Value > 0 {
				out = append(out, t)
			}
		}
	}
	return out
}

func (t *Total) add(r Row) {
	if t.Path == FewNodes {
		t.Value = max(t.Value, r.Value())
		return
	}
	t.Value += r.Value()
}

// String returns the total as a line of a table.
func (t Total) String() string {
	return fmt.Sprintf("| %s | %s | %s %s | %s | %s |", t.Limit, t.Path, figure(t.Value), t.Limit.Unit(), t.allowed(), t.verdict())
}

func (t Total) isBounded() bool {
	return t.Path != Request
}

func (t Total) allowed() string {
	if !t.isBounded() {
		return "none stated"
	}
	return figure(t.Limit.Allowed()) + " " + t.Limit.Unit()
}

func (t Total) verdict() string {
	switch {
	case !t.isBounded():
		return ""
	case t.Value <= t.Limit.Allowed():
		return "fits"
	default:
		return "**does not fit**"
	}
}
