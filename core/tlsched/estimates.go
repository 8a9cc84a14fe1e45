package tlsched

import (
	"time"

	"trefoillanding/core/tlestimate"
)

const (
	assumedPrefill       = 0.01   // seconds
	assumedPrefillToken  = 5e-5   // seconds per token
	assumedStep          = 0.01   // seconds
	assumedStepStream    = 0.0005 // seconds per stream
	assumedBytesPerToken = 1e5    // bytes
	assumedHeldFor       = 500 * time.Millisecond
	assumedPrompt        = 2000 // tokens
	lineHalfLife         = 100  // observations
	freedRateWindow      = 2 * time.Second
	rateWindow           = 20 * time.Second
	averageGain          = 0.05 // weight of a new value in a moving average
	// stepTargetShare is the share of the target between tokens that a decode step may take; the rest is margin.
	stepTargetShare = 0.95
)

// estimates holds what the scheduler has learnt about its engines and answers.
type estimates struct {
	lengths        *tlestimate.Lengths
	prefill        *tlestimate.LinearFit
	step           *tlestimate.LinearFit
	bytesPerToken  float64
	heldFor        float64          // seconds
	freedRate      *tlestimate.Rate // pieces
	freedPerStream float64          // pieces
	spareRate      *tlestimate.Rate // seconds of the whole pool
	submitRate     *tlestimate.Rate // requests
	refuseRate     *tlestimate.Rate // requests
}

func newEstimates(answer int) estimates {
	return estimates{
		lengths:        tlestimate.NewLengths(answer),
		prefill:        tlestimate.NewLinearFit(assumedPrefill, assumedPrefillToken, assumedPrompt, lineHalfLife),
		step:           tlestimate.NewLinearFit(assumedStep, assumedStepStream, 20, lineHalfLife),
		bytesPerToken:  assumedBytesPerToken,
		heldFor:        assumedHeldFor.Seconds(),
		freedRate:      tlestimate.NewRate(freedRateWindow),
		freedPerStream: 1,
		spareRate:      tlestimate.NewRate(rateWindow),
		submitRate:     tlestimate.NewRate(rateWindow),
		refuseRate:     tlestimate.NewRate(rateWindow),
	}
}

func updateAverage(v *float64, x float64) {
	*v += averageGain * (x - *v)
}

func (s *Scheduler) prefillTime(tokens int) time.Duration {
	return seconds(s.estimates.prefill.At(float64(tokens)))
}

func (s *Scheduler) heldFor() time.Duration {
	return seconds(s.estimates.heldFor)
}

// cacheBytes returns the size of a request's KV cache, or predicts it before the prefill has ended.
func (s *Scheduler) cacheBytes(r *request) int64 {
	if r.cacheBytes > 0 {
		return r.cacheBytes
	}
	return int64(float64(r.PromptTokens) * s.estimates.bytesPerToken)
}

// transferTime predicts how long a transfer takes over an idle link.
func (s *Scheduler) transferTime(bytes int64) time.Duration {
	for _, e := range s.engineList {
		if e.canDecode() {
			return e.link.TransferTime(bytes) - e.link.TransferTime(0)
		}
	}
	return 0
}

// neededPieces returns the pieces that the prompt and the expected answer take.
func (s *Scheduler) neededPieces(r *request) int {
	n := min(s.options.AssumedAnswer, r.MaxTokens)
	if s.options.EstimateLengths {
		n = s.estimates.lengths.Quantile(r.Organisation, r.Model, s.options.AnswerQuantile, 0, r.MaxTokens)
	}
	want := s.piecesFor(r.PromptTokens + n)
	return max(min(want, s.capacity.largestMemory), s.piecesFor(r.PromptTokens))
}

func (s *Scheduler) piecesFor(tokens int) int {
	return max((tokens+s.pool.PieceTokens-1)/s.pool.PieceTokens, 1)
}

// streamLimit returns how many streams an engine can run with its step time within the target between tokens.
func (s *Scheduler) streamLimit() int {
	if !s.options.LimitStreams {
		return s.options.MaxStreams
	}
	a, b := s.estimates.step.Coefficients()
	room := stepTargetShare*s.targets.BetweenTokens.Seconds() - a
	if b <= 0 || room/b > float64(s.options.MaxStreams) {
		return s.options.MaxStreams
	}
	return max(int(room/b), 1)
}
