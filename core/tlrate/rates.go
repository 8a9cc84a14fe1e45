package tlrate

import "time"

// Rates holds the estimates for the engines of one service.
type Rates struct {
	// Booking is how long a request occupies a decode engine, in seconds.
	Booking Estimate
	// Answer is the same for each token of the expected answer.
	Answer Ratio
	// Prefill is the time in which a prefill engine reads a token of a prompt.
	Prefill Ratio
	// Prompt is the length of a prompt, in tokens.
	Prompt Estimate
	// Load is the share of a decode engine that a request occupies, by memory or by
	// slots, times the tokens of its expected answer.
	Load Estimate
}

// Merge takes in the estimates of another instance.
func (r *Rates) Merge(o Rates) {
	r.Booking.Merge(o.Booking)
	r.Answer.Merge(o.Answer)
	r.Prefill.Merge(o.Prefill)
	r.Prompt.Merge(o.Prompt)
	r.Load.Merge(o.Load)
}

// PrefillTime returns how long a prefill engine takes to read a prompt, in tokens; 0 while that is unknown.
func (r Rates) PrefillTime(prompt int) time.Duration {
	return r.Prefill.Of(prompt)
}

// AnswerTime returns how long a decode engine takes for an answer, in tokens; 0 while that is unknown.
func (r Rates) AnswerTime(output int) time.Duration {
	return r.Answer.Of(output)
}

// PrefillWork returns the seconds of a prefill engine that a request takes; 0 while unknown.
func (r Rates) PrefillWork() float64 {
	return r.Prefill.Value() * r.Prompt.Value()
}

// DecodeWork returns the seconds of a decode engine that a request takes; 0 while unknown.
func (r Rates) DecodeWork() float64 {
	return r.Answer.Value() * r.Load.Value()
}
