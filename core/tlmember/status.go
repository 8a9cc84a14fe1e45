package tlmember

import "time"

// MemberStatus is a listed instance and its state.
type MemberStatus struct {
	Member
	State State
	// RestartedAt is when this instance learned that the process is another one than
	// before; zero if it knows of no other.
	RestartedAt time.Time
}

// State is the state of an instance in a view, as shown to operators.
type State string

// The states of a listed instance.
const (
	StateLive      State = "Live"
	StateDraining  State = "Draining"
	StateLeaving   State = "Leaving"
	StateSuspected State = "Suspected"
	StateGone      State = "Gone"
)

// All returns every listed instance, ordered by data centre and name.
func (v *View) All(now time.Time) []MemberStatus {
	v.refresh()
	all := make([]MemberStatus, 0, len(v.ring))
	for _, s := range v.ring {
		all = append(all, MemberStatus{Member: s.member(), State: v.stateOf(now, s), RestartedAt: s.restartedAt})
	}
	return all
}

func (v *View) stateOf(now time.Time, s *memberState) State {
	switch {
	case s.liveness(now, v.timeouts.GoneAfter) == Gone:
		return StateGone
	case s.liveness(now, v.timeouts.GoneAfter) == Suspected:
		return StateSuspected
	case s.draining:
		return StateDraining
	case !s.isStaying():
		return StateLeaving
	default:
		return StateLive
	}
}
