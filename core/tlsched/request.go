package tlsched

import (
	"strconv"
	"time"

	"trefoillanding/core/tlqueue"
	"trefoillanding/core/tlwire"
)

// request is what the scheduler knows of one request.
type request struct {
	tlwire.Submission
	item    tlqueue.Item[*request]
	stage   Stage
	number  int
	attempt string

	prefill  *engine
	work     time.Duration
	expected float64
	started  time.Time

	source    *engine
	bytes     int64
	heldUntil time.Time

	decode *engine
	// counted is what the organisation's share was charged.
	counted int
	pieces  int
	linked  int64
	sent    time.Time
	decoded time.Time

	tokens   int
	progress time.Time
	charged  tlqueue.Cost
}

func newRequest(s tlwire.Submission) *request {
	r := &request{Submission: s, number: s.Tries}
	r.item.Value = r
	return r
}

func (r *request) nextAttempt() {
	r.number++
	r.attempt = r.Request + "/" + strconv.Itoa(r.number)
}

// isFresh says whether nothing of the request has run.
func (r *request) isFresh() bool {
	return r.number == 1 && r.Delivered == 0
}

// deliver moves the tokens that the caller already has from the answer to the prompt.
func (r *request) deliver(tokens int) {
	n := tokens - r.Delivered
	if n <= 0 {
		return
	}
	r.Delivered += n
	r.PromptTokens += n
	r.MaxTokens = max(r.MaxTokens-n, 1)
}

// expires returns when the prefill result will be lost, as far as is known.
func (r *request) expires(heldFor time.Duration) time.Time {
	if r.stage == StageHeld {
		return r.heldUntil
	}
	return r.started.Add(r.work + heldFor)
}

func (r *request) step(k tlwire.StepKind) tlwire.Step {
	return tlwire.Step{Request: r.Request, Attempt: r.attempt, Kind: k}
}
