package tlsched

import (
	"strconv"
	"time"

	"trefoillanding/core/tlwire"
)

// request is what the scheduler knows of one request.
type request struct {
	tlwire.Submission
	stage     Stage
	number    int
	attempt   string
	prefill   *engine
	decode    *engine
	pieces    int
	work      int
	bytes     int64
	heldUntil time.Time
}

func newRequest(s tlwire.Submission) *request {
	return &request{Submission: s, number: s.Tries}
}

func (r *request) nextAttempt() {
	r.number++
	r.attempt = r.Request + "/" + strconv.Itoa(r.number)
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

func (r *request) step(k tlwire.StepKind) tlwire.Step {
	return tlwire.Step{Request: r.Request, Attempt: r.attempt, Kind: k}
}
