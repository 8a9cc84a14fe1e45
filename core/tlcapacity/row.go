package tlcapacity

import "fmt"

// Row is what one role costs at the target size: the product of its factors.
type Row struct {
	Role      string
	Path      Path
	Limit     Limit
	Factors   []Factor
	Mechanism string
}

// Value returns the product of the factors.
func (r Row) Value() float64 {
	return product(r.Factors)
}

// String returns the row as a line of a table.
func (r Row) String() string {
	return fmt.Sprintf("| %s | %s | %s | %s | %s %s | %s |", r.Role, r.Path, r.Limit,
		working(r.Factors), figure(r.Value()), r.Limit.Unit(), r.Mechanism)
}
