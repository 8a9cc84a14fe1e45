package tlbaseline

import (
	"math/rand/v2"

	"trefoillanding/core/tlmodel"
	"trefoillanding/core/tlsched"
	"trefoillanding/core/tlwire"
)

// Scope says what one decider sees.
type Scope int

// The scopes of a decider.
const (
	// ScopePool has one decider for each pool, for the requests of all owners.
	ScopePool Scope = iota
	// ScopeInstance has one decider at each owner, for its requests at all pools.
	ScopeInstance
	// ScopeAll has one decider for everything.
	ScopeAll
)

// Truth is what only an oracle may know.
type Truth struct {
	Output  func(request string) int
	Prefill func(engine string) *tlmodel.PrefillEngine
	Decode  func(engine string) *tlmodel.DecodeEngine
	Model   tlwire.EngineModel
	// LargestCost returns the cost up to which all requests together just fit.
	LargestCost func() float64
}

// Maker names a policy and makes it for a pool.
type Maker struct {
	Name  string
	Scope Scope
	Make  func(p tlwire.Pool, s tlwire.Service, o []tlwire.Organisation, r *rand.Rand, t Truth) Policy
}

// Makers lists every policy, the program's own first and without one of its
// mechanisms last.
func Makers() []Maker {
	return append(whole(), Ablations()...)
}

func whole() []Maker {
	return []Maker{
		{Name: "Scheduler", Scope: ScopePool, Make: makeScheduler},
		{Name: "SchedulerWithoutHomes", Scope: ScopeInstance, Make: makeScheduler},
		{Name: "RoundRobin", Scope: ScopeInstance, Make: makeRoundRobin},
		{Name: "LeastLoad", Scope: ScopeInstance, Make: makeLeastLoad},
		{Name: "TwoChoices", Scope: ScopeInstance, Make: makeTwoChoices},
		{Name: "Oracle", Scope: ScopeAll, Make: makeOracle},
		{Name: "OracleSmallestFirst", Scope: ScopeAll, Make: makeSmallestFirst},
		{Name: "OracleWithoutLarge", Scope: ScopeAll, Make: makeWithoutLarge},
	}
}

// Find returns the policy of a name.
func Find(name string) (Maker, bool) {
	for _, m := range Makers() {
		if m.Name == name {
			return m, true
		}
	}
	return Maker{}, false
}

func makeScheduler(p tlwire.Pool, s tlwire.Service, o []tlwire.Organisation, r *rand.Rand, _ Truth) Policy {
	return FromScheduler(tlsched.New(p, s, o, r))
}

func makeRoundRobin(p tlwire.Pool, s tlwire.Service, _ []tlwire.Organisation, _ *rand.Rand, _ Truth) Policy {
	return newSimple(p, *s.Bounds, roundRobin(), roundRobin()).Policy()
}

func makeLeastLoad(p tlwire.Pool, s tlwire.Service, _ []tlwire.Organisation, _ *rand.Rand, _ Truth) Policy {
	return newSimple(p, *s.Bounds, leastLoad(), leastLoad()).Policy()
}

func makeTwoChoices(p tlwire.Pool, s tlwire.Service, _ []tlwire.Organisation, r *rand.Rand, _ Truth) Policy {
	return newSimple(p, *s.Bounds, twoChoices(r), twoChoices(r)).Policy()
}

func makeOracle(p tlwire.Pool, _ tlwire.Service, o []tlwire.Organisation, _ *rand.Rand, t Truth) Policy {
	return newOracle(p, o, t, byFairness).Policy()
}

func makeSmallestFirst(p tlwire.Pool, _ tlwire.Service, o []tlwire.Organisation, _ *rand.Rand, t Truth) Policy {
	return newOracle(p, o, t, bySize).Policy()
}

func makeWithoutLarge(p tlwire.Pool, _ tlwire.Service, o []tlwire.Organisation, _ *rand.Rand, t Truth) Policy {
	n := newOracle(p, o, t, byFairness)
	n.largest = t.LargestCost()
	return n.Policy()
}
