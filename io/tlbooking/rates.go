package tlbooking

import (
	"trefoillanding/core/tlrate"
	"trefoillanding/core/tlwire"
)

func encodeRates(r tlrate.Rates) *tlwire.EngineRates {
	return &tlwire.EngineRates{
		Booking: tlwire.EngineRate(r.Booking),
		Answer:  encodeRatio(r.Answer),
		Prefill: encodeRatio(r.Prefill),
		Prompt:  tlwire.EngineRate(r.Prompt),
		Load:    tlwire.EngineRate(r.Load),
	}
}

func encodeRatio(r tlrate.Ratio) tlwire.EngineRatio {
	return tlwire.EngineRatio{Time: tlwire.EngineRate(r.Time), Units: tlwire.EngineRate(r.Units)}
}

func decodeRatio(r tlwire.EngineRatio) tlrate.Ratio {
	return tlrate.Ratio{Time: tlrate.Estimate(r.Time), Units: tlrate.Estimate(r.Units)}
}

// decodeRates returns the estimates of a message; those of an instance that sends none are unknown.
func decodeRates(r *tlwire.EngineRates) tlrate.Rates {
	if r == nil {
		return tlrate.Rates{}
	}
	return tlrate.Rates{
		Booking: tlrate.Estimate(r.Booking),
		Answer:  decodeRatio(r.Answer),
		Prefill: decodeRatio(r.Prefill),
		Prompt:  tlrate.Estimate(r.Prompt),
		Load:    tlrate.Estimate(r.Load),
	}
}
