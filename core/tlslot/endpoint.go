package tlslot

import (
	"math"
	"time"

	"trefoillanding/core/tlendpoint"
)

const (
	// initialAnswerTime is the assumed answer time of endpoints until one has answered; it
	// orders endpoints and refuses nobody.
	initialAnswerTime = 60 * time.Millisecond
	// firstBackoff is how long an endpoint is avoided after the first of consecutive
	// failures, and maxBackoff bounds it; they are those of tlhealth.
	firstBackoff = 400 * time.Millisecond
	maxBackoff   = 3 * time.Second
	// maxErrors is the number of answers in a row that report a failure from which on the
	// endpoint counts as failing: it may free its slots faster than any other.
	maxErrors = 2
	// maxDoublings bounds the doublings of the time for which an endpoint is closed.
	maxDoublings = 3
)

// endpoint is an endpoint of the service, and what it runs by the Book's count.
type endpoint struct {
	tlendpoint.Endpoint
	held int
	// took is the time from a send to its answer; messages is the time for which a slot is
	// held beyond that, while the grant and the end are on their way.
	took, messages average
	// failures counts consecutive failures, and doubtedUntil is until when they keep requests away.
	failures     int
	doubtedUntil time.Time
	// errors counts consecutive answers that report a failure.
	errors int
	// refusals counts the times in a row that the endpoint turned requests away although a
	// slot was free by the Book's count; closedUntil is until when it gets none.
	refusals    int
	closedUntil time.Time
	isListed    bool
}

// answerTime returns the usual time from a send to its answer.
func (e *endpoint) answerTime() time.Duration {
	if !e.took.isKnown {
		return initialAnswerTime
	}
	return max(e.took.mean, time.Millisecond)
}

// room returns how many requests may be sent to the endpoint at once, of which slots are
// run at once. The rest waits there for as long as the messages take between the end of
// one request and the start of the next, so that no slot is idle meanwhile.
func (e *endpoint) room(slots int) int {
	if slots <= 0 {
		// Neither a number of slots nor an estimate is known.
		return math.MaxInt
	}
	ahead := math.Ceil(float64(slots) * float64(e.messages.mean) / float64(e.answerTime()))
	return slots + min(int(ahead), slots)
}

// cost orders endpoints by the time in which they are expected to answer.
func (e *endpoint) cost(slots int) float64 {
	return e.answerTime().Seconds() * (1 + float64(e.held)/float64(max(slots, 1)))
}

// isDoubted reports whether the endpoint has failed and is to get no request, or only one
// that finds out whether it answers again.
func (e *endpoint) isDoubted(now time.Time, mayProbe bool) bool {
	return e.failures > 0 && (now.Before(e.doubtedUntil) || !mayProbe || e.held > 0)
}

// observe takes in how a send that held a slot for a time has ended.
func (e *endpoint) observe(now time.Time, end End, held time.Duration) {
	switch end.Result {
	case Withdrawn:
	case Answered:
		e.took.add(end.Took)
		e.messages.add(max(held-end.Took, 0))
		e.failures, e.errors, e.refusals = 0, 0, 0
		e.closedUntil = time.Time{}
	case TurnedAway:
		// What fills the endpoint isn't in the count: it drains while none is added.
		if !now.Before(e.closedUntil) {
			e.closedUntil = now.Add(e.answerTime() << min(e.refusals, maxDoublings))
			e.refusals++
		}
	case Failed:
		e.fail(now)
	case Erred:
		e.errors++
		if e.errors >= maxErrors {
			e.fail(now)
		}
	}
}

func (e *endpoint) fail(now time.Time) {
	e.doubtedUntil = now.Add(min(firstBackoff<<min(e.failures, 4), maxBackoff))
	e.failures++
}
