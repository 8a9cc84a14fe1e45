package tlrole

import (
	"math"
	"time"

	"trefoillanding/core/tlendpoint"
)

// Options are the parameters of a plan.
type Options struct {
	// Headroom multiplies the prefill share of the work. It is below 1 since decode
	// engines can read the prompts that are too many, while prefill engines can't decode.
	Headroom float64
	// MinPrefillEngines is the least number of prefill engines to keep.
	MinPrefillEngines int
	// MinDecodeEngines is the least number of decode engines to keep.
	MinDecodeEngines int
	// MoveInterval is the least time between moves once there is traffic.
	MoveInterval time.Duration
	// Hysteresis is by how many engines a role must be off before one moves while
	// no request waits: a role change is costly, and the work of a request varies.
	Hysteresis int
	// SettleTime is how long the set of engines must be unchanged before any moves,
	// since the list of engines arrives in parts.
	SettleTime time.Duration
	// IdleUtilisation is the utilisation of the prefill engines, from 0 to 1, below
	// which one may become a decode engine while requests wait.
	IdleUtilisation float64
}

// DefaultOptions returns the options that the router uses.
func DefaultOptions() Options {
	return Options{
		Headroom:          0.8,
		MinPrefillEngines: 2,
		MinDecodeEngines:  2,
		MoveInterval:      4 * time.Second,
		Hysteresis:        2,
		SettleTime:        time.Second,
		IdleUtilisation:   0.5,
	}
}

// Engine is the state of an engine that a plan depends on.
type Engine struct {
	tlendpoint.Endpoint
	// IsBusy says that the engine has work in its present role.
	IsBusy bool
	// Slowness is how many times longer than usual the engine takes for its work; 0 or 1
	// where it does not differ measurably.
	Slowness float64
	// IsMoving says that the engine was ordered to change its role and has not been seen in the new role yet.
	IsMoving bool
	// SinceOrder is the time since the last order to the engine; an order may be carried out late.
	SinceOrder time.Duration
}

func (e Engine) slowness() float64 {
	if e.Slowness <= 0 {
		return 1
	}
	return e.Slowness
}

// nextRole returns the role that the engine has, or changes to.
func (e Engine) nextRole() tlendpoint.Role {
	if (e.Role == tlendpoint.Prefill) != e.IsMoving {
		return tlendpoint.Prefill
	}
	return tlendpoint.Decode
}

// State is the input of a plan for one service.
type State struct {
	Engines []Engine
	// PrefillWork and DecodeWork are the engine seconds that a request takes in each role; 0 while unknown.
	PrefillWork, DecodeWork float64
	// PrefillUtilisation is the recent share of time, from 0 to 1, that prefill engines were busy.
	PrefillUtilisation float64
	// HasTraffic says that requests have arrived recently.
	HasTraffic bool
	// Waiting counts the requests that wait for memory.
	Waiting int
	// Needs holds the versions that requests need which no other may run, in order.
	Needs []Need
	// SinceChange is the time since an engine joined or left.
	SinceChange time.Duration
	// SinceMove is the time since the last move.
	SinceMove time.Duration
	// IsFirst says that no engine of the service has been moved yet, so that their roles suit no traffic.
	IsFirst bool
}

// Move is a role change to order from an engine.
type Move struct {
	Engine tlendpoint.Endpoint
	Role   tlendpoint.Role
}

// Plan returns the role changes to order now; it may return none.
func Plan(o Options, s State) []Move {
	if s.PrefillWork <= 0 || s.DecodeWork <= 0 {
		return nil
	}
	prefill, decode := s.CountByRole()
	want := PrefillEngines(o, s)
	switch {
	case s.SinceChange < o.SettleTime:
		return nil
	case !s.HasTraffic && prefill > want:
		return s.moves(prefill-want, tlendpoint.Prefill, tlendpoint.Decode)
	case !s.HasTraffic && prefill < want && decode > o.MinDecodeEngines:
		return s.moves(want-prefill, tlendpoint.Decode, tlendpoint.Prefill)
	case s.IsFirst && prefill > want && s.Waiting == 0:
		// The engines started in other roles than the work calls for; the surplus is idle.
		return s.moves(prefill-want, tlendpoint.Prefill, tlendpoint.Decode)
	case s.SinceMove < o.MoveInterval:
		return nil
	case prefill > want && s.Waiting > 0 && s.PrefillUtilisation < o.IdleUtilisation:
		return s.moves(1, tlendpoint.Prefill, tlendpoint.Decode)
	case prefill >= want+o.Hysteresis && s.Waiting == 0 && s.PrefillUtilisation < o.IdleUtilisation:
		// Half of a surplus that is idle: the work may have been measured on few requests.
		return s.moves(max((prefill-want)/2, 1), tlendpoint.Prefill, tlendpoint.Decode)
	case prefill >= want+o.Hysteresis && s.Waiting == 0:
		return s.moves(1, tlendpoint.Prefill, tlendpoint.Decode)
	case prefill+o.Hysteresis <= want && s.Waiting == 0 && decode > o.MinDecodeEngines:
		return s.moves(1, tlendpoint.Decode, tlendpoint.Prefill)
	}
	return nil
}

// PrefillEngines returns the number of prefill engines that suits the work.
func PrefillEngines(o Options, s State) int {
	readers, decoders := s.CountByRole()
	share := o.Headroom * s.PrefillWork / (s.PrefillWork + s.DecodeWork)
	n := int(math.Round(share * float64(readers+decoders)))
	return max(n, o.MinPrefillEngines)
}

// CountByRole returns the numbers of prefill and decode engines; a moving engine counts for its new role.
func (s State) CountByRole() (prefill, decode int) {
	for _, e := range s.Engines {
		if e.IsDraining {
			continue
		}
		if e.nextRole() == tlendpoint.Prefill {
			prefill++
		} else {
			decode++
		}
	}
	return prefill, decode
}

// orderInterval is the least time between two orders to one engine, since the first may be carried out seconds late.
const orderInterval = 15 * time.Second

// moves picks at most n engines of a role: idle engines first, then the slowest to decode or
// the fastest to prefill, then those in the data centre with most engines of that role.
func (s State) moves(n int, from, to tlendpoint.Role) []Move {
	perDataCentre := map[string]int{}
	var free []Engine
	for _, e := range s.Engines {
		if e.Role != from || e.IsMoving || e.IsDraining {
			continue
		}
		perDataCentre[e.DataCentre]++
		if e.SinceOrder >= orderInterval {
			free = append(free, e)
		}
	}
	var list []Move
	for len(list) < n && len(free) > 0 {
		best := 0
		for i := range free {
			if isPreferred(free[i], free[best], to, perDataCentre) {
				best = i
			}
		}
		e := free[best]
		perDataCentre[e.DataCentre]--
		free = append(free[:best], free[best+1:]...)
		list = append(list, Move{Engine: e.Endpoint, Role: to})
	}
	return list
}

// isPreferred reports whether an engine is to take a role before another. A slow engine is
// a poor prefill engine: each prompt that it reads delays a first event, while a decode
// engine that is slow can be given short answers.
func isPreferred(e, than Engine, to tlendpoint.Role, perDataCentre map[string]int) bool {
	if e.IsBusy != than.IsBusy {
		return !e.IsBusy
	}
	if a, b := e.slowness(), than.slowness(); a != b {
		return a > b == (to == tlendpoint.Decode)
	}
	return perDataCentre[e.DataCentre] > perDataCentre[than.DataCentre]
}
