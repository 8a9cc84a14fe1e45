package tlcapacity

import "fmt"

// Failure is the one-off cost of a failure or recovery: the product of its factors, in Unit.
type Failure struct {
	Name    string
	Unit    string
	Factors []Factor
}

// Failures returns the costs of failures at the target size, in the order of docs/CAPACITY.md.
func Failures() []Failure {
	list := []Factor{{"entries", listEntries}, listBytes.asFactor("MB", micro)}
	missed := Factor{"changes missed in an hour", changesPerDay / 24}
	return []Failure{
		{"a new instance reads the list", "MB", list},
		{"a new instance gets the configuration", "MB", []Factor{stateBytes.asFactor("MB", megabytesPerKilobyte)}},
		{"a home folds a claim stream again", "s", []Factor{{"claims", retainedClaims / claimStreams}, claimTime.asFactor("s", micro)}},
		{"an hour without the log: records read then", "MB", []Factor{missed, changeBytes.asFactor("MB", micro)}},
		{"an hour without the log: folding them then, one by one", "s", []Factor{missed, changeTime.asFactor("s", 1e-3)}},
		{"a region is lost: heartbeats until all its instances were asked", "heartbeats", []Factor{{"instances", nodes / regions}, {"of a heartbeat (8 are asked in each)", 1.0 / 8}}},
	}
}

// Value returns the product of the factors, in f.Unit.
func (f Failure) Value() float64 {
	return product(f.Factors)
}

// String returns the failure as a row of a Markdown table.
func (f Failure) String() string {
	return fmt.Sprintf("| %s | %s | %s %s |", f.Name, formatFactors(f.Factors), formatNumber(f.Value()), f.Unit)
}
