package tlreconcile

import "trefoillanding/core/tlwire"

// The counters of reconcilers, besides one for each kind of order.
const (
	countLeaseTaken   = "LeaseTaken"
	countLeaseRefused = "LeaseNotTaken"
	countLeaseLapsed  = "LeaseLapsed"
	countOldNumber    = "OldFencingNumber"
	countOrderFailed  = "OrderFailed"
	countLoadFailed   = "LoadFailed"
	countStaleReport  = "StaleReport"
	countStoreBusy    = "WeightStoreBusy"
	countPaced        = "LoadPaced"
	countAsDeclared   = "AsDeclared"
)

// CounterNames lists the counters of reconcilers.
var CounterNames = []string{
	countLeaseTaken, countLeaseRefused, countLeaseLapsed, countOldNumber,
	countOrderFailed, countLoadFailed, countStaleReport, countStoreBusy, countPaced,
	countAsDeclared, string(tlwire.OrderKindLoadModel),
	string(tlwire.OrderKindUnloadModel), string(tlwire.OrderKindSetRole),
}
