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
	// RestoreInterval is the least time between moves that give versions a decode engine.
	RestoreInterval time.Duration
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
		RestoreInterval:   time.Second,
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
	// IsUnanswered says that the engine gave no answer to the order, which it may carry out late or never.
	IsUnanswered bool
	// IsFailing says that the engine has failed requests since its last success.
	IsFailing bool
	// HasEnded says that the engine refuses the connections of several instances, though it is still listed.
	HasEnded bool
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

// isInUse reports whether the engine can run work, now or after a move.
func (e Engine) isInUse() bool {
	return !e.IsDraining && !e.HasEnded
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
	// SinceJoin is the time since the number of engines last rose.
	SinceJoin time.Duration
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
	if moves := RestoreDecoders(o, s); len(moves) > 0 {
		return moves
	}
	if s.PrefillWork <= 0 || s.DecodeWork <= 0 {
		return nil
	}
	prefill, decode := s.CountByRole()
	want := PrefillEngines(o, s)
	crowded := s.crowdedVersion(o)
	switch {
	case s.SinceChange < o.SettleTime:
		return nil
	case !s.HasTraffic && prefill > want:
		return s.moves(o, prefill-want, tlendpoint.Prefill, tlendpoint.Decode)
	case !s.HasTraffic && prefill < want && decode > o.MinDecodeEngines:
		return s.moves(o, want-prefill, tlendpoint.Decode, tlendpoint.Prefill)
	case s.IsFirst && prefill > want && s.Waiting == 0:
		// The engines started in other roles than the work calls for; the surplus is idle.
		return s.moves(o, prefill-want, tlendpoint.Prefill, tlendpoint.Decode)
	case s.SinceMove < o.MoveInterval:
		return nil
	case crowded != "":
		return s.ofVersion(crowded).moves(o, 1, tlendpoint.Prefill, tlendpoint.Decode)
	case prefill > want && s.Waiting > 0 && s.PrefillUtilisation < o.IdleUtilisation:
		return s.moves(o, 1, tlendpoint.Prefill, tlendpoint.Decode)
	case prefill >= want+o.Hysteresis && s.Waiting == 0 && s.PrefillUtilisation < o.IdleUtilisation:
		// Half of a surplus that is idle: the work may have been measured on few requests.
		return s.moves(o, max((prefill-want)/2, 1), tlendpoint.Prefill, tlendpoint.Decode)
	case prefill >= want+o.Hysteresis && s.Waiting == 0:
		return s.moves(o, 1, tlendpoint.Prefill, tlendpoint.Decode)
	case prefill+o.Hysteresis <= want && s.Waiting == 0 && decode > o.MinDecodeEngines:
		return s.moves(o, 1, tlendpoint.Decode, tlendpoint.Prefill)
	}
	return nil
}

// PrefillEngines returns the number of prefill engines that suits the work.
func PrefillEngines(o Options, s State) int {
	return max(s.prefillOfWork(o), o.MinPrefillEngines)
}

// prefillOfWork returns the number of prefill engines that suits the work, which may be none.
func (s State) prefillOfWork(o Options) int {
	readers, decoders := s.CountByRole()
	return int(math.Round(s.prefillShare(o) * float64(readers+decoders)))
}

// prefillShare returns the share of the engines that suits the prefill work; 0 while the work is unknown.
func (s State) prefillShare(o Options) float64 {
	if s.PrefillWork <= 0 || s.DecodeWork <= 0 {
		return 0
	}
	return o.Headroom * s.PrefillWork / (s.PrefillWork + s.DecodeWork)
}

// CountByRole returns the numbers of prefill and decode engines in use; a moving engine counts for its new role.
func (s State) CountByRole() (prefill, decode int) {
	for _, e := range s.Engines {
		switch {
		case !e.isInUse():
		case e.nextRole() == tlendpoint.Prefill:
			prefill++
		default:
			decode++
		}
	}
	return prefill, decode
}
