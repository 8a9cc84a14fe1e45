package tlbaseline

import (
	"math/rand/v2"

	"trefoillanding/core/tlsched"
	"trefoillanding/core/tlwire"
)

type ablation struct {
	name   string
	remove func(*tlsched.Options)
}

var ablations = []ablation{
	{"NoReservation", func(o *tlsched.Options) { o.Reserve = false }},
	{"WithoutFair", func(o *tlsched.Options) { o.Fair = false }},
	{"WithoutSlack", func(o *tlsched.Options) { o.Slack = false }},
	{"WithoutLateLane", func(o *tlsched.Options) { o.LateLane = false }},
	{"WithoutAdmission", func(o *tlsched.Options) { o.Admission = false }},
	{"WithoutSpill", func(o *tlsched.Options) { o.Spill = false }},
	{"WithoutBet", func(o *tlsched.Options) { o.Speculate = false }},
	{"WithoutPrefix", func(o *tlsched.Options) { o.PrefixAffinity = false }},
	{"WithoutLinks", func(o *tlsched.Options) { o.WeighLinks = false }},
	{"WithoutSecondChoice", func(o *tlsched.Options) { o.RetryTransfer = false }},
	{"WithoutEstimate", func(o *tlsched.Options) { o.EstimateLengths = false }},
	{"WithoutBudget", func(o *tlsched.Options) { o.RetryBudget = false }},
	{"WithoutLimitStreams", func(o *tlsched.Options) { o.LimitStreams = false }},
	{"WithoutSuspend", func(o *tlsched.Options) { o.Suspend = false }},
	{"WithoutShed", func(o *tlsched.Options) { o.Preempt = false }},
	{"WithoutCostRank", func(o *tlsched.Options) { o.CostPenalty = 0 }},
	{"WithoutLateReserve", func(o *tlsched.Options) { o.LateReserve = 0 }},
	{"WithoutShareReserve", func(o *tlsched.Options) { o.ShareReserve = 0 }},
	{"WithoutOvertaking", func(o *tlsched.Options) { o.LookAhead = 1 }},
}

// Ablations returns the scheduler's own policy once for each mechanism, with that
// mechanism disabled.
func Ablations() []Maker {
	var l []Maker
	for _, a := range ablations {
		l = append(l, Maker{Name: a.name, Scope: ScopePool, Make: a.make})
	}
	return l
}

func (a ablation) make(p tlwire.Pool, s tlwire.Service, g []tlwire.Organisation, r *rand.Rand, _ Truth) Policy {
	o := tlsched.DefaultOptions()
	a.remove(&o)
	return FromScheduler(tlsched.NewWithOptions(o, p, s, g, r))
}
