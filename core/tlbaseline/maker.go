package tlbaseline

import (
	"math/rand/v2"

	"trefoillanding/core/tlmodel"
	"trefoillanding/core/tlsched"
	"trefoillanding/core/tlwire"
)

// Scope is the set of requests and pools that one policy object decides for.
type Scope int

// The scopes of a policy object.
const (
	// ScopePool has one policy object for each pool, for the requests of all owners.
	ScopePool Scope = iota
	// ScopeInstance has one policy object at each owner, for its requests at all pools.
	ScopeInstance
	// ScopeAll has one policy object for all requests and pools.
	ScopeAll
)

// Truth gives the true lengths of answers and the exact state of the engines, which only an oracle may use.
type Truth struct {
	Output  func(request string) int
	Prefill func(engine string) *tlmodel.PrefillEngine
	Decode  func(engine string) *tlmodel.DecodeEngine
	Model   tlwire.EngineModel
	// LargestCost returns the maximum cost of a request at which all requests up to
	// that cost together just fit.
	LargestCost func() float64
}

// Maker is a named policy with its scope and its constructor.
type Maker struct {
	Name  string
	Scope Scope
	Make  func(p tlwire.Pool, s tlwire.Service, o []tlwire.Organisation, r *rand.Rand, t Truth) Policy
}

// Makers returns every policy: the scheduler's own first, its ablations last.
func Makers() []Maker {
	return append(completePolicies(), Ablations()...)
}

func completePolicies() []Maker {
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

// Find returns the policy with the given name, and whether it exists.
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
	n.maxCost = t.LargestCost()
	return n.Policy()
}
