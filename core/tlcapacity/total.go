package tlcapacity

import "fmt"

// Total is the cost of all rows with the same limit and path, in the unit of Limit.
type Total struct {
	Limit Limit
	Path  Path
	Value float64
}

// Totals sums up rows, ordered by limit and then by path, and leaves out totals of
// zero. For FewNodes it takes the largest row instead of the sum, because the rows
// concern different nodes.
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

// String returns the total as a row of a Markdown table.
func (t Total) String() string {
	return fmt.Sprintf("| %s | %s | %s %s | %s | %s |", t.Limit, t.Path, formatNumber(t.Value), t.Limit.Unit(), t.allowed(), t.verdict())
}

func (t Total) hasLimit() bool {
	return t.Path != Request
}

func (t Total) allowed() string {
	if !t.hasLimit() {
		return "none stated"
	}
	return formatNumber(t.Limit.Allowed()) + " " + t.Limit.Unit()
}

func (t Total) verdict() string {
	switch {
	case !t.hasLimit():
		return ""
	case t.Value <= t.Limit.Allowed():
		return "fits"
	default:
		return "**does not fit**"
	}
}
