package tlcapacity

import "fmt"

// Row is the cost of one role against one limit at the target size: the product of its factors.
type Row struct {
	Role      string
	Path      Path
	Limit     Limit
	Factors   []Factor
	Mechanism string
}

// Value returns the product of the factors, in the unit of r.Limit.
func (r Row) Value() float64 {
	return product(r.Factors)
}

// String returns the row as a line of a Markdown table.
func (r Row) String() string {
	return fmt.Sprintf("| %s | %s | %s | %s | %s %s | %s |", r.Role, r.Path, r.Limit,
		formatFactors(r.Factors), formatNumber(r.Value()), r.Limit.Unit(), r.Mechanism)
}
