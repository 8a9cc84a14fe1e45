package gateway

import (
	"trefoillanding/core/tlroute"
	"trefoillanding/io/tlbooking"
	"trefoillanding/io/tlgateway"
	"trefoillanding/io/tlguard"
	"trefoillanding/io/tllimiter"
	"trefoillanding/io/tlmeter"
	"trefoillanding/io/tlmetric"
	"trefoillanding/io/tlorder"
	"trefoillanding/io/tlpeer"
	"trefoillanding/io/tlprober"
	"trefoillanding/io/tlregistry"
	"trefoillanding/io/tlslotter"
	"trefoillanding/io/tltrace"
)

// The counters of this package.
const (
	storeCalls      = "Calls"
	storeOutages    = "Lost"
	storeWentBack   = "WentBack"
	badEntry        = "BadEntry"
	lateEntry       = "LateEntry"
	badConfig       = "BadConfig"
	connectionsMade = "ConnectionsMade"
	reportsFailed   = "ReportsFailed"
	endpointLeaving = "Leaving"
	endpointResting = "Resting"
	chosenLeaving   = "ChosenLeaving"
	answerUnproved  = "AnswerUnproved"
	libraryLines    = "LibraryLines"
)

// counters holds the counter groups of an instance.
type counters struct {
	gateway      *tlmetric.Group
	store        *tlmetric.Group
	endpoints    *tlmetric.Group
	reservations *tlmetric.Group
	peers        *tlmetric.Group
	traces       *tlmetric.Group
	orders       *tlmetric.Group
	limits       *tlmetric.Group
	quotas       *tlmetric.Group
	slots        *tlmetric.Group
	guard        *tlmetric.Group
	origins      *tlmetric.Group
	reach        *tlmetric.Group
	connections  *tlmetric.Group
	// latencies has, for each kind of route, the time to the answer, or to the first event of a stream.
	latencies map[tlroute.Kind]*tlmetric.Histogram
}

func newCounters(s *tlmetric.Set) counters {
	names := append([]string{}, tlgateway.CounterNames...)
	for _, r := range tlgateway.Reasons {
		names = append(names, string(r))
	}
	return counters{
		gateway:      s.Group("Gateway", names...),
		store:        s.Group("Store", storeCalls, storeOutages, storeWentBack, badEntry, lateEntry, badConfig),
		endpoints:    s.Group("Endpoints", connectionsMade, reportsFailed, endpointLeaving, endpointResting, chosenLeaving, answerUnproved, libraryLines),
		reservations: s.Group("Places", tlbooking.CounterNames...),
		peers:        s.Group("Peers", tlpeer.CounterNames...),
		traces:       s.Group("Traces", tltrace.CounterNames...),
		orders:       s.Group("Orders", tlorder.CounterNames...),
		limits:       s.Group("Limits", tllimiter.CounterNames...),
		quotas:       s.Group("Quotas", tlmeter.CounterNames...),
		slots:        s.Group("Slots", tlslotter.CounterNames...),
		guard:        s.Group("Guard", tlguard.CounterNames...),
		origins:      s.Group("Origins", tlregistry.CounterNames...),
		reach:        s.Group("Reach", tlprober.CounterNames...),
		connections:  s.Group("Connections", connectionCounterNames...),
		latencies: map[tlroute.Kind]*tlmetric.Histogram{
			tlroute.AtMostOnce: s.Histogram("OnceTime"),
			tlroute.Idempotent: s.Histogram("IdempotentTime"),
			tlroute.Stream:     s.Histogram("FirstEventTime"),
		},
	}
}
