package tlcapacity

import "fmt"

// Failure is what one failure costs once: the product of its factors.
type Failure struct {
	Name    string
	Unit    string
	Factors []Factor
}

// Failures returns what failures cost at the target size, in the order of the page.
func Failures() []Failure {
	list := []Factor{{"entries", listEntries}, listBytes.of("MB", megabyte)}
	missed := Factor{"changes missed in an hour", changesPerDay / 24}
	return []Failure{
		{"a new instance reads the list", "MB", list},
		{"a new instance gets the configuration", "MB", []Factor{stateBytes.of("MB", kilobyte)}},
		{"a home folds a claim stream again", "s", []Factor{{"claims", keptClaims / claimStreams}, claimTime.of("s", megabyte)}},
		{"an hour without the log: records read then", "MB", []Factor{missed, changeBytes.of("MB", megabyte)}},
		{"an hour without the log: folding them then, one by one", "s", []Factor{missed, changeTime.of("s", 1e-3)}},
		{"a region is lost: heartbeats until all its instances were asked", "heartbeats", []Factor{{"instances", nodes / regions}, {"of a heartbeat (8 are asked in each)", 1.0 / 8}}},
	}
}

// Value returns the product of the factors.
func (f Failure) Value() float64 {
	return product(f.Factors)
}

// String returns the failure as a line of a table.
func (f Failure) String() string {
	return fmt.Sprintf("| %s | %s | %s %s |", f.Name, working(f.Factors), figure(f.Value()), f.Unit)
}
