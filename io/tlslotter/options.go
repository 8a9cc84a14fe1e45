package tlslotter

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"trefoillanding/core/tlendpoint"
	"trefoillanding/core/tlplace"
	"trefoillanding/io/tlpeer"
)

// The kinds of messages between an instance and the home of a service.
const (
	// kindTake asks the home for a slot, kindEnd reports the end of a request.
	kindTake = "SlotTake"
	kindEnd  = "SlotEnd"
	// kindContended tells the home that an endpoint turned a request away, and all others
	// that contention begins or ends.
	kindContended = "SlotsContended"
)

const (
	// firstHold and nextHold are how long the home holds the first question for a request,
	// and those after it has said that the request is queued. answerMargin is the time for
	// the messages, so that a home that is gone is noticed after 150 ms. An instance on a
	// fifth of a core takes 1 to 3 ms for a message, but may get no time for most of 100 ms.
	firstHold    = 50 * time.Millisecond
	nextHold     = 150 * time.Millisecond
	answerMargin = 100 * time.Millisecond
	// homePause is how long a home is not asked after it gave no answer: about as long as
	// gossip takes to name another.
	homePause = 500 * time.Millisecond
	// reportInterval is the time between reports of an instance that endpoints of a service
	// turn requests away.
	reportInterval = 500 * time.Millisecond
	// memory is how long a service counts as contended of which the home has said nothing
	// more: an instance may have missed that contention ended.
	memory = 15 * time.Second
	// endMemory is how long a home knows that contention has ended: until the instances
	// that missed it have forgotten that it began.
	endMemory = 2 * memory
	// ownerCheckInterval is the time between looks for owners that are gone.
	ownerCheckInterval = 100 * time.Millisecond
)

// The counters of a Slotter.
const (
	// Granted counts this instance's sends that got a slot, Queued those of them that
	// waited, Refused its requests that were refused since they could not be answered in
	// time, and HomeSilent those whose home gave no answer.
	Granted    = "Granted"
	Queued     = "Queued"
	Refused    = "Refused"
	HomeSilent = "HomeSilent"
	// TurnedAway counts this instance's sends that an endpoint turned away for lack of capacity.
	TurnedAway = "TurnedAway"
	// GivenOut counts the slots that this instance gave out as a home, and Contended how
	// often contention of a service began here.
	GivenOut  = "GivenOut"
	Contended = "Contended"
)

// CounterNames lists the counters of a Slotter.
var CounterNames = []string{Granted, Queued, Refused, HomeSilent, TurnedAway, GivenOut, Contended}

var errNotHome = errors.New("this instance is not the home of the service")

// Options holds what a Slotter depends on.
type Options struct {
	// Self is this instance.
	Self tlplace.Owner
	// Mesh reaches the other instances; New registers handlers with it.
	Mesh *tlpeer.Mesh
	// Home returns the home of a service.
	Home func(service string) string
	// Others returns the names of the other live instances.
	Others func() []string
	// Endpoints returns the endpoints of a service that may be sent requests.
	Endpoints func(service string) []tlendpoint.Endpoint
	// Capacity returns how many requests an endpoint takes well at once; false if that is unknown.
	Capacity func(endpoint string) (int, bool)
	// IsGone reports whether the requests of an instance have ended with it.
	IsGone func(tlplace.Owner) bool
	// Post sends a one-way message to another instance without waiting.
	Post func(peer, kind string, send func(context.Context) error)
	// Now returns the current time.
	Now func() time.Time
	// Log receives the beginning and the end of contention, and homes that fall silent.
	Log *logrus.Entry
	// Count adds one to a counter of CounterNames.
	Count func(reason string)
}
