package tlreconcile

import "trefoillanding/core/tlwire"

// The counters of reconcilers, besides one for each kind of order.
const (
	countLeaseTaken       = "LeaseTaken"
	countLeaseNotTaken    = "LeaseNotTaken"
	countLeaseLapsed      = "LeaseLapsed"
	countOldFencingNumber = "OldFencingNumber"
	countOrderFailed      = "OrderFailed"
	countLoadFailed       = "LoadFailed"
	countStaleReport      = "StaleReport"
	countWeightStoreBusy  = "WeightStoreBusy"
	countLoadPaced        = "LoadPaced"
	countAsDeclared       = "AsDeclared"
)

// CounterNames lists the names of the reconciler counters.
var CounterNames = []string{
	countLeaseTaken, countLeaseNotTaken, countLeaseLapsed, countOldFencingNumber,
	countOrderFailed, countLoadFailed, countStaleReport, countWeightStoreBusy, countLoadPaced,
	countAsDeclared, string(tlwire.OrderKindLoadModel),
	string(tlwire.OrderKindUnloadModel), string(tlwire.OrderKindSetRole),
}
