package tlrole

import (
	"math"
	"time"

	"trefoillanding/core/tlendpoint"
)

// Options are the figures of a plan.
type Options struct {
	// Headroom multiplies the prefill side's share of the work: a queue of prompts
	// makes requests late long before its engines are always busy.
	Headroom float64
	// LeastReaders is the least number of prefill engines that are left.
	LeastReaders int
	// LeastDecoders is the least number of decode engines that are left.
	LeastDecoders int
	// Pause is the time between moves once there is traffic.
	Pause time.Duration
	// Hysteresis is how many engines the sides must be off before one moves in
	// the calm: an order costs, and the work of a request varies.
	Hysteresis int
	// Settle is how long the engines must have been the same before any moves: a list comes in pieces.
	Settle time.Duration
	// IdleShare is the use of the prefill engines below which one may go while requests wait.
	IdleShare float64
}

// DefaultOptions returns the figures in use.
func DefaultOptions() Options {
	return Options{
		Headroom:      0.8,
		LeastReaders:  2,
		LeastDecoders: 2,
		Pause:         4 * time.Second,
		Hysteresis:    2,
		Settle:        time.Second,
		IdleShare:     0.5,
	}
}

// Engine is what a plan needs of an engine.
type Engine struct {
	tlendpoint.Endpoint
	// IsBusy says that it has work in its present role.
	IsBusy bool
	// IsMoving says that it was ordered to change its role, and has not been seen in it.
	IsMoving bool
	// MovedAgo is the time since the last order to it; an order may be carried out late.
	MovedAgo time.Duration
}

// State is what a plan is made from.
type State struct {
	Engines []Engine
	// PrefillWork and DecodeWork are the seconds of an engine that a request takes on each side.
	PrefillWork, DecodeWork float64
	// PrefillUtilisation is the part of the time that prefill engines were busy of late.
	PrefillUtilisation float64
	// HasTraffic says that requests have come of late.
	HasTraffic bool
	// Waiting counts the requests that wait for memory.
	Waiting int
	// SinceChange is the time since an engine came or went.
	SinceChange time.Duration
	// SinceMove is the time since the last move.
	SinceMove time.Duration
}

// Move is an engine with the role that it should take.
type Move struct {
	Engine tlendpoint.Endpoint
	Role   tlendpoint.Role
}

// Plan returns the moves to make now.
func Plan(o Options, s State) []Move {
	readers, decoders := s.sides()
	want := PrefillEngines(o, s)
	switch {
	case s.SinceChange < o.Settle:
		return nil
	case !s.HasTraffic && readers > want:
		return s.moves(readers-want, tlendpoint.Prefill, tlendpoint.Decode)
	case !s.HasTraffic && readers < want && decoders > o.LeastDecoders:
		return s.moves(want-readers, tlendpoint.Decode, tlendpoint.Prefill)
	case s.SinceMove < o.Pause:
		return nil
	case readers > want && s.Waiting > 0 && s.PrefillUtilisation < o.IdleShare:
		return s.moves(1, tlendpoint.Prefill, tlendpoint.Decode)
	case readers >= want+o.Hysteresis && s.Waiting == 0:
		return s.moves(1, tlendpoint.Prefill, tlendpoint.Decode)
	case readers+o.Hysteresis <= want && s.Waiting == 0 && decoders > o.LeastDecoders:
		return s.moves(1, tlendpoint.Decode, tlendpoint.Prefill)
	}
	return nil
}

// PrefillEngines returns how many prefill engines the work asks for.
func PrefillEngines(o Options, s State) int {
	readers, decoders := s.sides()
	share := o.Headroom * s.PrefillWork / (s.PrefillWork + s.DecodeWork)
	n := int(math.Round(share * float64(readers+decoders)))
	return max(n, o.LeastReaders)
}

// sides counts the engines of each role; one that moves counts for the role that it will have.
func (s State) sides() (readers, decoders int) {
	for _, e := range s.Engines {
		if e.IsDraining {
			continue
		}
		if (e.Role == tlendpoint.Prefill) != e.IsMoving {
			readers++
		} else {
			decoders++
		}
	}
	return readers, decoders
}

// orderPause is the least time between two orders to one engine: the first may be carried out seconds late.
const orderPause = 15 * time.Second

// moves picks at most n engines of a role, idle ones first, from the data centre with most of them.
func (s State) moves(n int, from, to tlendpoint.Role) []Move {
	perDataCentre := map[string]int{}
	var free []Engine
	for _, e := range s.Engines {
		if e.Role != from || e.IsMoving || e.IsDraining {
			continue
		}
		perDataCentre[e.DataCentre]++
		if e.MovedAgo >= orderPause {
			free = append(free, e)
		}
	}
	var list []Move
	for len(list) < n && len(free) > 0 {
		best := 0
		for i := range free {
			if isBetter(free[i], free[best], perDataCentre) {
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

func isBetter(e, than Engine, perDataCentre map[string]int) bool {
	if e.IsBusy != than.IsBusy {
		return !e.IsBusy
	}
	return perDataCentre[e.DataCentre] > perDataCentre[than.DataCentre]
}
