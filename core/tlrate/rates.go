package tlrate

import "time"

// Rates holds the estimates for the engines of one service.
type Rates struct {
	// Booking is how long a request occupies a decode engine, in seconds.
	Booking Estimate
	// Token is the same for each token of the expected answer, in seconds.
	Token Estimate
	// Prefill is the time in which a prefill engine reads a token of a prompt, in seconds.
	Prefill Estimate
	// Prompt is the length of a prompt, in tokens.
	Prompt Estimate
	// Load is the share of a decode engine that a request occupies, by memory or by
	// slots, times the tokens of its expected answer.
	Load Estimate
}

// Merge takes in the estimates of another instance.
func (r *Rates) Merge(o Rates) {
	r.Booking.Merge(o.Booking)
	r.Token.Merge(o.Token)
	r.Prefill.Merge(o.Prefill)
	r.Prompt.Merge(o.Prompt)
	r.Load.Merge(o.Load)
}

// PrefillTime returns how long a prefill engine takes to read a prompt, in tokens; 0 while that is unknown.
func (r Rates) PrefillTime(prompt int) time.Duration {
	return seconds(r.Prefill.Value() * float64(prompt))
}

// AnswerTime returns how long a decode engine takes for an answer, in tokens; 0 while that is unknown.
func (r Rates) AnswerTime(output int) time.Duration {
	return seconds(r.Token.Value() * float64(output))
}

// PrefillWork returns the seconds of a prefill engine that a request takes; 0 while unknown.
func (r Rates) PrefillWork() float64 {
	return r.Prefill.Value() * r.Prompt.Value()
}

// DecodeWork returns the seconds of a decode engine that a request takes; 0 while unknown.
func (r Rates) DecodeWork() float64 {
	return r.Token.Value() * r.Load.Value()
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
