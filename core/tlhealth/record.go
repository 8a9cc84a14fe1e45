package tlhealth

import (
	"time"

	"trefoillanding/core/tlshare"
)

// The figures of a record.
const (
	// newWeight is the weight of a new outcome in the averages.
	newWeight = 0.15
	// usualTime is the answer time of an endpoint that has answered nothing.
	usualTime = 60 * time.Millisecond
	// firstDoubt is how long an endpoint is avoided after its first failure in a row.
	firstDoubt = 400 * time.Millisecond
	// longestDoubt bounds the doubt that doubles with each failure in a row.
	longestDoubt = 3 * time.Second
	// leastSilence is the shortest wait without an answer that speaks against
	// an endpoint; routes with a shorter timeout end requests that are merely long.
	leastSilence = 600 * time.Millisecond
	// riskyLoss is the average share of lost answers from which an endpoint gets
	// no request that runs once while there are others: one loss counts for some ten answers.
	riskyLoss = 0.03
	// refusedPause is how long an endpoint without room is avoided.
	refusedPause = 100 * time.Millisecond
)

// record is what is known of one endpoint.
type record struct {
	open int
	// failing is the average share of sends that failed in any way, lost that of
	// sends whose answer was lost.
	failing    tlshare.Share
	lost       tlshare.Share
	took       time.Duration
	inARow     int
	doubtUntil time.Time
	isProbed   bool
}

func (r *record) isDoubted() bool {
	return r.inARow > 0
}

// observe takes in the outcome of a send that took some time.
func (r *record) observe(now time.Time, o Outcome, took time.Duration) {
	r.open = max(r.open-1, 0)
	r.isProbed = false
	switch o {
	case Answered:
		r.answered(took)
	case ServerError:
		r.answered(took)
		r.failing += newWeight
	case Refused:
		r.doubtUntil = now.Add(refusedPause)
	case TimedOut:
		if took >= leastSilence {
			r.lose()
			r.failed(now)
		}
	case Broken:
		r.lose()
		r.failed(now)
	case ConnectFailed:
		r.failed(now)
	case CallerGone:
	}
}

func (r *record) answered(took time.Duration) {
	r.inARow = 0
	r.doubtUntil = time.Time{}
	r.failing.Fall(newWeight)
	r.lost.Fall(newWeight)
	r.took += time.Duration(newWeight * float64(took-r.took))
}

func (r *record) lose() {
	r.lost.Rise(newWeight)
}

// isRisky says whether answers were lost of late, which a request that runs once does not survive.
func (r *record) isRisky() bool {
	return r.lost > riskyLoss
}

func (r *record) failed(now time.Time) {
	r.failing.Rise(newWeight)
	doubt := min(firstDoubt<<min(r.inARow, 4), longestDoubt)
	r.inARow++
	r.doubtUntil = now.Add(doubt)
}

// cost is what a request is expected to cost here: the time of those before it and the risk of failure.
func (r *record) cost(slots int) float64 {
	queue := 1 + float64(r.open)/float64(max(slots, 1))
	works := max(1-float64(r.failing), 0.05)
	return queue * r.took.Seconds() / (works * works)
}
