package tlplace

import (
	"time"

	"trefoillanding/core/tlendpoint"
	"trefoillanding/core/tlshare"
)

// engine is what the book knows of one engine.
type engine struct {
	tlendpoint.Endpoint
	// booked is the memory that requests have here, in tokens.
	booked int
	// foreign is memory that is held by what has no place in this book, as
	// reported at a time; it fades over the life of a place.
	foreign, reported int
	reportedAt        time.Time
	// left holds the places that ended a moment ago, which a report may still count.
	left []leftPlace
	// running counts the requests that have a place here.
	running int
	// direct counts the prompts that it reads itself.
	direct int
	// reading counts the prompts that it was sent as a prefill engine.
	reading int
	// freeAt is when the prompts that it was sent are expected to be read.
	freeAt time.Time
	// slowness is its time for a prefill against the expected one.
	slowness float64
	// doubtUntil is until when nothing is sent to it.
	doubtUntil time.Time
	// failures counts the failures since it last served a request.
	failures int
	// loss is the average share of its answers that were lost of late.
	loss tlshare.Share
	// awayUntil is until when it changes its role, unless it is listed in the new one before.
	awayUntil time.Time
	// keptFor is the request that its free memory is kept for.
	keptFor string
}

// Failure is what an engine did to a request.
type Failure int

// The failures of engines.
const (
	// Unresponsive means that it could not be reached, or did not answer in time.
	Unresponsive Failure = iota
	// ConnectionBroke means that the connection ended before the answer did.
	ConnectionBroke
)

const (
	// lossWeight is the weight of a new outcome in the share of lost answers.
	lossWeight = 0.15
	// riskyLoss is the share of lost answers from which an engine gets a request
	// only where no other has room: two losses in a row, since one may be chance,
	// and engines that are filled unevenly are slower.
	riskyLoss = 0.2
)

// slownessWeight is the weight of a new measurement of an engine's speed.
const slownessWeight = 0.2

const (
	// mostRatio bounds what one measurement may say.
	mostRatio = 4
	// leastSlowness and mostSlowness bound what is believed of an engine.
	leastSlowness = 0.5
	mostSlowness  = 8
)

func (e *engine) isUsable(now time.Time) bool {
	return !e.IsDraining && !now.Before(e.doubtUntil) && !now.Before(e.awayUntil)
}

// fail notes a failure: one that shows it gone keeps requests away at once, one
// that may have been the connection's only after another.
func (e *engine) fail(now time.Time, f Failure, o Options) {
	doubt := o.DoubtFor
	if f == ConnectionBroke && e.failures == 0 {
		doubt = o.FullPause
	}
	if e.failures > 1 {
		doubt = min(doubt<<min(e.failures-1, 4), o.LongestDoubt)
	}
	e.failures++
	e.lose()
	e.doubtUntil = later(e.doubtUntil, now.Add(doubt))
}

// served notes that it served a request.
func (e *engine) served() {
	e.failures = 0
	e.loss.AddMiss(lossWeight)
}

// lose notes that an answer of its was lost.
func (e *engine) lose() {
	e.loss.AddHit(lossWeight)
}

// isRisky says whether answers of its were lost of late.
func (e *engine) isRisky() bool {
	return e.loss > riskyLoss
}

// learn corrects the slowness by how long a prefill took, with those before it,
// against what was expected.
func (e *engine) learn(took, expected time.Duration) {
	if expected <= 0 {
		return
	}
	ratio := min(float64(took)/float64(expected), mostRatio)
	e.slowness *= 1 + slownessWeight*(ratio-1)
	e.slowness = min(max(e.slowness, leastSlowness), mostSlowness)
}

// fits says whether a request of so many tokens has room in an engine's memory.
func (e *engine) fits(tokens int, o Options) bool {
	return tokens <= e.room(o) && e.running < o.Slots
}

// room returns the tokens that may still be booked.
func (e *engine) room(o Options) int {
	return o.bookable() - e.held()
}

// leftPlace is the memory of a place that ended.
type leftPlace struct {
	at     time.Time
	tokens int
}

// held returns the memory that is taken.
func (e *engine) held() int {
	return e.booked + e.foreign
}
