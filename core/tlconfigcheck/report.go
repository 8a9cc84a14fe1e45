package tlconfigcheck

import (
	"fmt"
	"strings"

	"trefoillanding/core/tlroute"
)

// Report is the result of checking a configuration.
type Report struct {
	// Version is the version of the configuration; 0 if it can't be decoded.
	Version uint64
	// Against is the version that it was compared with; 0 if there was none.
	Against uint64
	// Findings is what is wrong.
	Findings []Finding
	// Differences is what differs from the version that it was compared with.
	Differences []Difference
}

// CompareWith adds what differs from another version that may be in force.
func (r *Report) CompareWith(t, other *tlroute.Table) {
	r.Against = other.Version
	r.Differences = Compare(other, t)
	if t.Version <= other.Version {
		text := fmt.Sprintf("version %d is not above %d, so that instances with that one don't use it", t.Version, other.Version)
		r.Findings = append(r.Findings, Finding{NotNewer, Configuration, "", text})
	}
}

// String returns the report as lines.
func (r Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "version %d, findings: %d\n", r.Version, len(r.Findings))
	for _, f := range r.Findings {
		fmt.Fprintln(&b, f)
	}
	if r.Against > 0 {
		fmt.Fprintf(&b, "against version %d, differences: %d\n", r.Against, len(r.Differences))
	}
	for _, d := range r.Differences {
		fmt.Fprintln(&b, d)
	}
	return b.String()
}
