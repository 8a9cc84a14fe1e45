package tlcapacity

import (
	"fmt"
	"strings"
)

// Factor is a named number, one of those that are multiplied to give a cost.
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

func formatFactors(factors []Factor) string {
	var all []string
	for _, f := range factors {
		all = append(all, fmt.Sprintf("%s %s", formatNumber(f.Value), f.Name))
	}
	return strings.Join(all, " × ")
}

// formatNumber formats v as a whole number from 1000 on, and with at most three
// significant digits below.
func formatNumber(v float64) string {
	if v >= 1000 {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.3g", v)
}
