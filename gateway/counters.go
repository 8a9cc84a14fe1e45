package gateway

import (
	"trefoillanding/core/tlroute"
	"trefoillanding/io/tlbooking"
	"trefoillanding/io/tlgateway"
	"trefoillanding/io/tlmetric"
	"trefoillanding/io/tlorder"
	"trefoillanding/io/tlpeer"
	"trefoillanding/io/tltrace"
)

// The counters of the instance's own parts.
const (
	storeCalls      = "Calls"
	storeLost       = "Lost"
	badEntry        = "BadEntry"
	badConfig       = "BadConfig"
	connectionsMade = "ConnectionsMade"
	reportsFailed   = "ReportsFailed"
)

// counters are the groups of an instance's counters.
type counters struct {
	gateway   *tlmetric.Group
	store     *tlmetric.Group
	endpoints *tlmetric.Group
	places    *tlmetric.Group
	peers     *tlmetric.Group
	traces    *tlmetric.Group
	orders    *tlmetric.Group
	// took has, for each kind of route, the time to the answer, or to the first event of a stream.
	took map[tlroute.Kind]*tlmetric.Histogram
}

func newCounters(s *tlmetric.Set) counters {
	names := append([]string{}, tlgateway.CounterNames...)
	for _, r := range tlgateway.Reasons {
		names = append(names, string(r))
	}
	return counters{
		gateway:   s.Group("Gateway", names...),
		store:     s.Group("Store", storeCalls, storeLost, badEntry, badConfig),
		endpoints: s.Group("Endpoints", connectionsMade, reportsFailed),
		places:    s.Group("Places", tlbooking.CounterNames...),
		peers:     s.Group("Peers", tlpeer.CounterNames...),
		traces:    s.Group("Traces", tltrace.CounterNames...),
		orders:    s.Group("Orders", tlorder.CounterNames...),
		took: map[tlroute.Kind]*tlmetric.Histogram{
			tlroute.AtMostOnce: s.Histogram("OnceTime"),
			tlroute.Idempotent: s.Histogram("IdempotentTime"),
			tlroute.Stream:     s.Histogram("FirstEventTime"),
		},
	}
}
