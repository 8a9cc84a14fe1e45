package tlbaseline

import (
	"time"

	"trefoillanding/core/tlsched"
	"trefoillanding/core/tlwire"
)

// Policy is the interface of a scheduler as a set of functions, so that other
// policies can replace it.
type Policy struct {
	Submit      func(time.Time, tlwire.Submission) []tlwire.Step
	Report      func(time.Time, tlwire.Report) []tlwire.Step
	Load        func(time.Time, tlwire.LoadReport) []tlwire.Step
	CacheEvents func(time.Time, string, tlwire.CacheEvents)
	Engine      func(time.Time, string, tlsched.EngineState) []tlwire.Step
	Tick        func(time.Time) []tlwire.Step
	Next        func() time.Time
	Summary     func(time.Time) tlwire.PoolSummary
	Count       func(func(name string, n uint64))
}

// FromScheduler returns a scheduler, which is the policy that the router itself runs, as a Policy.
func FromScheduler(s *tlsched.Scheduler) Policy {
	return Policy{
		Submit:      s.Submit,
		Report:      s.Report,
		Load:        s.UpdateLoad,
		CacheEvents: s.ApplyCacheEvents,
		Engine:      s.SetEngineState,
		Tick:        s.Tick,
		Next:        s.NextTick,
		Summary:     s.Summary,
		Count: func(f func(string, uint64)) {
			for i, n := range s.Counts() {
				f(tlsched.Counter(i).String(), uint64(n))
			}
		},
	}
}
