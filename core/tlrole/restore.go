package tlrole

import (
	"slices"
	"time"

	"trefoillanding/core/tlendpoint"
)

// RestoreDecoders returns the moves that give a decode engine to versions that have none
// and that requests need.
//
// It answers the loss of all decode engines of a version, or of the service, while prefill
// engines of it live. These can't do anything for another version, so that nobody loses by
// their move, and it waits neither for the list of engines to settle nor for the interval of
// other moves: callers have some seconds.
func RestoreDecoders(o Options, s State) []Move {
	if s.SinceMove < o.RestoreInterval || s.SinceJoin < o.SettleTime {
		return nil
	}
	var list []Move
	for _, version := range s.Undecoded() {
		list = append(list, restoreOf(o, s.ofVersion(version))...)
	}
	if len(list) == 0 && s.HasTraffic {
		list = restoreOf(o, s)
	}
	return list
}

// restoreOf returns the moves for engines of which none decodes. One prefill engine stays
// if there are several: a decode engine that has to read all prompts itself takes streams
// up one by one.
func restoreOf(o Options, s State) []Move {
	prefill, _ := s.CountByRole()
	if prefill == 0 || slices.ContainsFunc(s.Engines, Engine.isDecoder) {
		return nil
	}
	keep := min(max(s.prefillOfWork(o), 1), prefill-1)
	if s.prefillShare(o) == 0 {
		keep = prefill - 1
	}
	return s.moves(o, prefill-keep, tlendpoint.Prefill, tlendpoint.Decode)
}

// isDecoder reports whether the engine decodes, or is about to.
func (e Engine) isDecoder() bool {
	return e.isInUse() && e.nextRole() == tlendpoint.Decode && !e.IsUnanswered
}

// MaxChecks is the largest number of failing decode engines of a version that are checked
// for their end in one plan; with more, the version counts as having a decode engine until
// their entries lapse.
const MaxChecks = 16

// ToCheck returns the decode engines of which it has to be known whether they have ended:
// those of the service, or of a version that requests need, where all of them fail requests.
func (s State) ToCheck() []tlendpoint.Endpoint {
	if all := s.failingDecoders(); s.HasTraffic && len(all) > 0 {
		return all
	}
	var list []tlendpoint.Endpoint
	for _, n := range s.Needs {
		list = append(list, s.ofVersion(n.Version).failingDecoders()...)
	}
	return list
}

// MarkEnded records that an engine has ended.
func (s State) MarkEnded(id string) {
	for i := range s.Engines {
		if s.Engines[i].ID == id {
			s.Engines[i].HasEnded = true
		}
	}
}

// failingDecoders returns the decode engines if all of them fail requests.
func (s State) failingDecoders() []tlendpoint.Endpoint {
	var list []tlendpoint.Endpoint
	for _, e := range s.Engines {
		if !e.isInUse() || e.IsMoving || e.Role != tlendpoint.Decode {
			continue
		}
		if !e.IsFailing || len(list) == MaxChecks {
			return nil
		}
		list = append(list, e.Endpoint)
	}
	return list
}

// restoreTime is how long after the loss of a version's decode engines the order to another
// engine is expected: a plan, and the calls that give the order its number.
const restoreTime = 200 * time.Millisecond

// RestoreTime returns the time until a version without a decode engine is expected to have
// one, where an engine of it may be ordered to become one and takes the given time for it.
func RestoreTime(roleChange time.Duration) time.Duration {
	return restoreTime + roleChange
}
