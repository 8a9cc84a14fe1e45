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

	prefill        *engine
	prefillWork    time.Duration
	expectedBlocks float64
	prefillStart   time.Time

	source     *engine
	cacheBytes int64
	heldUntil  time.Time

	decode *engine
	// sharePieces is the number of pieces counted against the organisation's share.
	sharePieces   int
	pieces        int
	linkBytes     int64
	transferStart time.Time
	decodeStart   time.Time

	tokens      int
	progressAt  time.Time
	chargedCost tlqueue.Cost
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

// isFresh reports whether no part of the request has run.
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

// expires returns when the prefill result expires, predicted while the prefill is still running.
func (r *request) expires(heldFor time.Duration) time.Time {
	if r.stage == StageHeld {
		return r.heldUntil
	}
	return r.prefillStart.Add(r.prefillWork + heldFor)
}

func (r *request) step(k tlwire.StepKind) tlwire.Step {
	return tlwire.Step{Request: r.Request, Attempt: r.attempt, Kind: k}
}
