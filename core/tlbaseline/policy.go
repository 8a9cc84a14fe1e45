package tlbaseline

import (
	"time"

	"trefoillanding/core/tlsched"
	"trefoillanding/core/tlwire"
)

// Policy is a scheduler as a set of functions, so that others can take its place.
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

// FromScheduler returns the policy that the program itself runs.
func FromScheduler(s *tlsched.Scheduler) Policy {
	return Policy{
		Submit:      s.Submit,
		Report:      s.Report,
		Load:        s.UpdateLoad,
		CacheEvents: s.CacheEvents,
		Engine:      s.SetEngineState,
		Tick:        s.Tick,
		Next:        s.Next,
		Summary:     s.Summary,
		Count: func(f func(string, uint64)) {
			for i, n := range s.Counts() {
				f(tlsched.Counter(i).String(), uint64(n))
			}
		},
	}
}
