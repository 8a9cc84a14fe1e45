package tlplace

import (
	"time"

	"trefoillanding/core/tlendpoint"
	"trefoillanding/core/tlpace"
	"trefoillanding/core/tlshare"
)

// engine is the book's state of one engine.
type engine struct {
	tlendpoint.Endpoint
	// booked is the memory of the bookings here, in tokens.
	booked int
	// untracked is memory in use by requests without a booking here, in tokens. It was
	// untrackedReported at reportedAt and decays to 0 within an average booking's time.
	untracked, untrackedReported int
	reportedAt                   time.Time
	// fullAt is when it last had no room for a booked request.
	fullAt time.Time
	// released holds recently ended bookings, which the engine's memory report may still count.
	released []releasedBooking
	// running counts the bookings here.
	running int
	// directPrefills counts the prompts that this decode engine is to read itself.
	directPrefills int
	// directFrom is when it may read another prompt itself: two readings within one
	// event of the answers beside them would add up to one pause.
	directFrom time.Time
	// prefills counts the unread prompts sent to this prefill engine.
	prefills int
	// freeAt is when the prompts sent to it are expected to be read.
	freeAt time.Time
	// lastPrefilled is when it last read a prompt.
	lastPrefilled time.Time
	// reading and decoding are the paces at which it reads prompts and generates answers.
	reading, decoding tlpace.Pace
	// slowness and decodeSlowness are how many times longer than usual it takes for both; 1
	// where it does not differ measurably.
	slowness, decodeSlowness float64
	// notedSlowness is the slowness that was last reported.
	notedSlowness float64
	// withheld is memory, in tokens, by which it counts as fuller: a measurably fast engine
	// is left to the answers that need it while there is a choice.
	withheld int
	// backoffUntil is the time before which no request is sent to it.
	backoffUntil time.Time
	// failures counts the failures since its last success.
	failures int
	// lossShare is the moving average share of its answers that were lost.
	lossShare tlshare.Share
	// roleChangeUntil is the time before which it is changing its role, unless it is listed in the new one earlier.
	roleChangeUntil time.Time
	// changesTo is the role that it changes to, and changedAt when it is expected to have it.
	changesTo tlendpoint.Role
	changedAt time.Time
	// reservedFor is the ID of the request that its free memory is reserved for.
	reservedFor string
}

// Failure is the way in which an engine failed a request.
type Failure int

// Kinds of engine failure.
const (
	// Unresponsive means that the engine could not be reached, or did not answer in time.
	Unresponsive Failure = iota
	// ConnectionBroke means that the connection ended before the answer was complete.
	ConnectionBroke
)

const (
	// lossWeight is the weight of a new outcome in the moving average of lost answers.
	lossWeight = 0.15
	// riskyLossShare is the share of lost answers above which an engine gets a request
	// only where no other has room. It takes two losses in a row to exceed it: a single
	// one may be chance, and filling engines unevenly makes them slower.
	riskyLossShare = 0.2
)

func (e *engine) isUsable(now time.Time) bool {
	return !e.IsDraining && !now.Before(e.backoffUntil) && !now.Before(e.roleChangeUntil)
}

// recordFailure backs off from the engine. A first broken connection, which may be the
// network's fault, backs off for FullBackoff only; any other failure for FailureBackoff or longer.
func (e *engine) recordFailure(now time.Time, f Failure, o Options) {
	backoff := o.FailureBackoff
	if f == ConnectionBroke && e.failures == 0 {
		backoff = o.FullBackoff
	}
	if e.failures > 1 {
		backoff = min(backoff<<min(e.failures-1, 4), o.MaxFailureBackoff)
	}
	e.failures++
	e.recordLostAnswer()
	e.backoffUntil = later(e.backoffUntil, now.Add(backoff))
}

// recordSuccess resets the failure count and lowers the share of lost answers.
func (e *engine) recordSuccess() {
	e.failures = 0
	e.lossShare.AddMiss(lossWeight)
}

// recordLostAnswer raises the share of lost answers.
func (e *engine) recordLostAnswer() {
	e.lossShare.AddHit(lossWeight)
}

// slownessWeight is the weight of a new measurement of an engine's prefill speed.
const slownessWeight = 0.2

const (
	// maxPrefillRatio caps the ratio of actual to expected duration in a single measurement.
	maxPrefillRatio = 4
	// minSlowness and maxSlowness bound an engine's estimated slowness.
	minSlowness = 0.5
	maxSlowness = 8
)

// updateSlowness corrects the slowness by the ratio of a prefill's actual duration to the
// expected one; both include the prompts queued before it.
func (e *engine) updateSlowness(took, expected time.Duration) {
	if expected <= 0 {
		return
	}
	ratio := min(float64(took)/float64(expected), maxPrefillRatio)
	e.slowness *= 1 + slownessWeight*(ratio-1)
	e.slowness = min(max(e.slowness, minSlowness), maxSlowness)
}

// isRisky reports whether the engine recently lost too large a share of its answers.
func (e *engine) isRisky() bool {
	return e.lossShare > riskyLossShare
}

// fits reports whether a request with the given tokens fits into the engine's memory and slots.
func (e *engine) fits(tokens int, o Options) bool {
	return tokens <= e.freeTokens(o) && e.running < o.Slots
}

// freeTokens returns how many tokens may still be booked.
func (e *engine) freeTokens(o Options) int {
	return o.bookable() - e.heldTokens()
}

// releasedBooking is the memory of an ended booking, in tokens.
type releasedBooking struct {
	at     time.Time
	tokens int
}

// heldTokens returns the memory in use, booked or not.
func (e *engine) heldTokens() int {
	return e.booked + e.untracked
}
