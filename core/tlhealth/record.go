package tlhealth

import (
	"time"

	"trefoillanding/core/tlpace"
	"trefoillanding/core/tlshare"
)

// The parameters of a record.
const (
	// sampleWeight is the weight of a new outcome in the moving averages.
	sampleWeight = 0.15
	// initialAnswerTime is the assumed answer time of an endpoint that has not answered yet.
	initialAnswerTime = 60 * time.Millisecond
	// firstBackoff is how long an endpoint is avoided after the first of consecutive failures.
	firstBackoff = 400 * time.Millisecond
	// maxBackoff bounds the backoff, which doubles with each consecutive failure.
	maxBackoff = 3 * time.Second
	// minFailureTimeout is the shortest timeout that counts as a failure of the
	// endpoint; routes with a shorter one also time out requests that just take long.
	minFailureTimeout = 600 * time.Millisecond
	// lossyThreshold is the average share of lost answers above which an endpoint gets
	// no at-most-once request while there are others; after one loss it takes about
	// ten answers to fall below it.
	lossyThreshold = 0.03
	// refusedBackoff is how long an endpoint is avoided after it refused a request for lack of capacity.
	refusedBackoff = 100 * time.Millisecond
)

// record holds the observed health of one endpoint.
type record struct {
	inFlight int
	// slots is what the endpoint listed when it was last picked.
	slots int
	// curve is the time that it takes for the requests in flight there.
	curve tlpace.Curve
	// notedTime is the time of an answer, without load, as it was last reported.
	notedTime time.Duration
	// failureRate is the average share of sends that failed in any way, lossRate
	// that of sends whose answer was lost.
	failureRate         tlshare.Share
	lossRate            tlshare.Share
	meanAnswerTime      time.Duration
	consecutiveFailures int
	backoffUntil        time.Time
	isProbing           bool
}

func (r *record) isFailing() bool {
	return r.consecutiveFailures > 0
}

// observe records the outcome of a send and how long it took.
func (r *record) observe(now time.Time, o Outcome, took time.Duration) {
	r.measure(now, o, took)
	r.inFlight = max(r.inFlight-1, 0)
	r.isProbing = false
	switch o {
	case Answered:
		r.recordAnswer(took)
	case ServerError:
		r.recordAnswer(took)
		r.failureRate += sampleWeight
	case Refused:
		r.backoffUntil = now.Add(refusedBackoff)
	case TimedOut:
		if took >= minFailureTimeout {
			r.recordLoss()
			r.recordFailure(now)
		}
	case Broken:
		r.recordLoss()
		r.recordFailure(now)
	case ConnectFailed:
		r.recordFailure(now)
	case CallerGone:
	}
}

// measure takes in the time of an answer. One that was not awaited to its end took longer
// than the time until then, which says something only if that exceeds what was expected.
func (r *record) measure(now time.Time, o Outcome, took time.Duration) {
	isWhole := o == Answered
	isLate := (o == TimedOut || o == CallerGone) && r.curve.Pace.IsKnown() && took.Seconds() > r.curve.Seconds(r.inFlight, r.slots)
	if r.slots > 0 && (isWhole || isLate) {
		r.curve.Add(now, took, r.inFlight, r.slots)
	}
}

// notedChange is the ratio by which the time of an answer has to change to be reported.
const notedChange = 2

// paceChange returns the time of an answer as it was last reported and as it is now, and
// whether it has changed much since.
func (r *record) paceChange() (before, after time.Duration, isChanged bool) {
	if !r.curve.Pace.IsKnown() {
		return 0, 0, false
	}
	before, after = r.notedTime, time.Duration(r.curve.Pace.Seconds()*float64(time.Second))
	if before == 0 {
		r.notedTime = after
		return 0, after, false
	}
	if after < notedChange*before && before < notedChange*after {
		return before, after, false
	}
	r.notedTime = after
	return before, after, true
}

func (r *record) recordAnswer(took time.Duration) {
	r.consecutiveFailures = 0
	r.backoffUntil = time.Time{}
	r.failureRate.AddMiss(sampleWeight)
	r.lossRate.AddMiss(sampleWeight)
	r.meanAnswerTime += time.Duration(sampleWeight * float64(took-r.meanAnswerTime))
}

func (r *record) recordLoss() {
	r.lossRate.AddHit(sampleWeight)
}

// isLossy reports whether answers were lost recently; a request that runs at most once can't be retried after a loss.
func (r *record) isLossy() bool {
	return r.lossRate > lossyThreshold
}

func (r *record) recordFailure(now time.Time) {
	r.failureRate.AddHit(sampleWeight)
	doubt := min(firstBackoff<<min(r.consecutiveFailures, 4), maxBackoff)
	r.consecutiveFailures++
	r.backoffUntil = now.Add(doubt)
}

// cost returns the expected cost of a request in seconds: the mean answer time,
// scaled up by the requests in flight per slot and by the risk of failure.
func (r *record) cost(slots int) float64 {
	queue := 1 + float64(r.inFlight)/float64(max(slots, 1))
	return queue * r.meanAnswerTime.Seconds() * r.risk()
}

// unevenCost is the same where the endpoints of a service differ measurably: the time
// that the endpoint is expected to take, with a part for the requests of other instances.
func (r *record) unevenCost(slots int) float64 {
	queue := 1 + float64(r.inFlight)/r.curve.Concurrency(slots)
	return queue * max(r.curve.Seconds(r.inFlight+1, slots), r.meanAnswerTime.Seconds()) * r.risk()
}

// risk returns the factor by which the risk of failure raises the cost of a request.
func (r *record) risk() float64 {
	successRate := max(1-float64(r.failureRate), 0.05)
	return 1 / (successRate * successRate)
}
