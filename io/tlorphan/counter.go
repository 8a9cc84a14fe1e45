package tlorphan

import "trefoillanding/core/tlsweep"

// The counters of a sweeper, besides one for each reason of a sweep.
const (
	// CountListed counts lists that engines gave.
	CountListed = "Listed"
	// CountListFailed counts lists that engines did not give.
	CountListFailed = "ListFailed"
	// CountAsked counts questions to owners.
	CountAsked = "OwnerAsked"
	// CountAskFailed counts questions to owners without an answer.
	CountAskFailed = "OwnerAskFailed"
)

// Counters lists the names of all counters.
func Counters() []string {
	l := []string{CountListed, CountListFailed, CountAsked, CountAskFailed}
	for _, r := range tlsweep.Reasons {
		l = append(l, string(r))
	}
	return l
}
