package tlmember

import "time"

// MemberStatus is a listed instance with what is believed of it.
type MemberStatus struct {
	Member
	State State
}

// State is what a view believes of an instance, as operators are told.
type State string

// The states of a listed instance.
const (
	StateLive      State = "Live"
	StateDraining  State = "Draining"
	StateLeaving   State = "Leaving"
	StateSuspected State = "Suspected"
	StateGone      State = "Gone"
)

// All returns every listed instance, in order of data centre and name.
func (v *View) All(now time.Time) []MemberStatus {
	v.refresh()
	all := make([]MemberStatus, 0, len(v.ring))
	for _, s := range v.ring {
		all = append(all, MemberStatus{Member: s.member(), State: v.stateOf(now, s)})
	}
	return all
}

func (v *View) stateOf(now time.Time, s *state) State {
	switch {
	case s.fate(now, v.times.GoneAfter) == Gone:
		return StateGone
	case s.fate(now, v.times.GoneAfter) == Suspected:
		return StateSuspected
	case s.draining:
		return StateDraining
	case !s.isStaying():
		return StateLeaving
	default:
		return StateLive
	}
}
