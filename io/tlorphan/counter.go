package tlorphan

import "trefoillanding/core/tlsweep"

// The counters of a sweeper, besides one for each tlsweep.Reason.
const (
	// CountListed counts lists received from engines.
	CountListed = "Listed"
	// CountListFailed counts requests for a list that failed.
	CountListFailed = "ListFailed"
	// CountAsked counts questions sent to owners.
	CountAsked = "OwnerAsked"
	// CountAskFailed counts questions without a valid answer.
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
