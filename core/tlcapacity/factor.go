package tlcapacity

import (
	"fmt"
	"strings"
)

// Factor is one factor of a row.
type Factor struct {
	Name  string
	Value float64
}

func product(factors []Factor) float64 {
	v := 1.0
	for _, f := range factors {
		v *= f.Value
	}
	return v
}

func working(factors []Factor) string {
	var all []string
	for _, f := range factors {
		all = append(all, fmt.Sprintf("%s %s", figure(f.Value), f.Name))
	}
	return strings.Join(all, " × ")
}

// figure writes a figure with at most three digits that matter, or whole.
func figure(v float64) string {
	if v >= 1000 {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.3g", v)
}
