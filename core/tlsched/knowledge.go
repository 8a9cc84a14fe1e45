package tlsched

import (
	"time"

	"trefoillanding/core/tlestimate"
)

const (
	assumedPrefill       = 0.01   // seconds
	assumedPrefillToken  = 5e-5   // seconds a token
	assumedStep          = 0.01   // seconds
	assumedStepStream    = 0.0005 // seconds a stream
	assumedBytesPerToken = 1e5
	assumedHeldFor       = 500 * time.Millisecond
	assumedPrompt        = 2000 // tokens
	linesHalfAfter       = 100  // points
	freedOver            = 2 * time.Second
	spareOver            = 20 * time.Second
	averageGain          = 0.05
	// stepMargin is kept free below the target between tokens.
	stepMargin = 0.95
)

// knowledge is what the scheduler has learnt of its engines and answers.
type knowledge struct {
	lengths       *tlestimate.Lengths
	prefill       *tlestimate.Line
	step          *tlestimate.Line
	bytesPerToken float64
	heldFor       float64
	freed         *tlestimate.Rate
	freedEach     float64
	spare         *tlestimate.Rate
	asked         *tlestimate.Rate
	refused       *tlestimate.Rate
}

func newKnowledge(answer int) knowledge {
	return knowledge{
		lengths:       tlestimate.NewLengths(answer),
		prefill:       tlestimate.NewLine(assumedPrefill, assumedPrefillToken, assumedPrompt, linesHalfAfter),
		step:          tlestimate.NewLine(assumedStep, assumedStepStream, 20, linesHalfAfter),
		bytesPerToken: assumedBytesPerToken,
		heldFor:       assumedHeldFor.Seconds(),
		freed:         tlestimate.NewRate(freedOver),
		freedEach:     1,
		spare:         tlestimate.NewRate(spareOver),
		asked:         tlestimate.NewRate(spareOver),
		refused:       tlestimate.NewRate(spareOver),
	}
}

func average(v *float64, x float64) {
	*v += averageGain * (x - *v)
}

func (s *Scheduler) prefillTime(tokens int) time.Duration {
	return seconds(s.known.prefill.At(float64(tokens)))
}

func (s *Scheduler) heldFor() time.Duration {
	return seconds(s.known.heldFor)
}

// bytes returns the size of a request's KV cache, or predicts it.
func (s *Scheduler) bytes(r *request) int64 {
	if r.bytes > 0 {
		return r.bytes
	}
	return int64(float64(r.PromptTokens) * s.known.bytesPerToken)
}

// transferTime predicts a transfer over an idle link.
func (s *Scheduler) transferTime(bytes int64) time.Duration {
	for _, e := range s.order {
		if e.decodesToo() {
			return e.link.TransferTime(bytes) - e.link.TransferTime(0)
		}
	}
	return 0
}

// need returns the pieces that the prompt and the expected answer take.
func (s *Scheduler) need(r *request) int {
	n := min(s.options.AssumedAnswer, r.MaxTokens)
	if s.options.EstimateLengths {
		n = s.known.lengths.Quantile(r.Organisation, r.Model, s.options.AnswerQuantile, 0, r.MaxTokens)
	}
	want := s.pieces(r.PromptTokens + n)
	return max(min(want, s.capacity.largest), s.pieces(r.PromptTokens))
}

func (s *Scheduler) pieces(tokens int) int {
	return max((tokens+s.pool.PieceTokens-1)/s.pool.PieceTokens, 1)
}

// streamLimit returns how many streams an engine runs with its steps inside the target between tokens.
func (s *Scheduler) streamLimit() int {
	if !s.options.LimitStreams {
		return s.options.MaxStreams
	}
	a, b := s.known.step.Coefficients()
	room := stepMargin*s.targets.BetweenTokens.Seconds() - a
	if b <= 0 || room/b > float64(s.options.MaxStreams) {
		return s.options.MaxStreams
	}
	return max(int(room/b), 1)
}
