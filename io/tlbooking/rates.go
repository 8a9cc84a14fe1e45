package tlbooking

import (
	"trefoillanding/core/tlrate"
	"trefoillanding/core/tlwire"
)

func encodeRates(r tlrate.Rates) *tlwire.EngineRates {
	return &tlwire.EngineRates{
		Booking: tlwire.EngineRate(r.Booking),
		Token:   tlwire.EngineRate(r.Token),
		Prefill: tlwire.EngineRate(r.Prefill),
		Prompt:  tlwire.EngineRate(r.Prompt),
		Load:    tlwire.EngineRate(r.Load),
	}
}

// decodeRates returns the estimates of a message; those of an instance that sends none are unknown.
func decodeRates(r *tlwire.EngineRates) tlrate.Rates {
	if r == nil {
		return tlrate.Rates{}
	}
	return tlrate.Rates{
		Booking: tlrate.Estimate(r.Booking),
		Token:   tlrate.Estimate(r.Token),
		Prefill: tlrate.Estimate(r.Prefill),
		Prompt:  tlrate.Estimate(r.Prompt),
		Load:    tlrate.Estimate(r.Load),
	}
}
