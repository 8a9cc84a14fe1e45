package tlmember

import (
	"net/netip"
	"time"

	"trefoillanding/core/tlwire"
)

// Member describes an entry instance.
type Member struct {
	Name       string
	DataCentre string
	Address    netip.AddrPort
	// Incarnation rises with each start of the instance; 0 if unknown.
	Incarnation uint64
	// Capacity is the instance's processor capacity in cores; 0 if unknown.
	Capacity float64
}

// memberState is what a view knows about one instance.
type memberState struct {
	instance    tlwire.Instance
	listed      bool
	draining    bool
	incarnation uint64
	// heardAt is when this instance or a peer last heard from it.
	heardAt time.Time
	// silentFrom is the earliest time from which silence is counted, if later than heardAt.
	silentFrom  time.Time
	suspectedAt time.Time
	changedAt   time.Time
	restartedAt time.Time
	firstHand   bool
}

func (s *memberState) member() Member {
	return Member{
		Name:        s.instance.Name,
		DataCentre:  s.instance.DataCentre,
		Address:     s.instance.Address,
		Incarnation: s.knownIncarnation(),
		Capacity:    s.instance.Capacity,
	}
}

// knownIncarnation returns the newest incarnation that is known; 0 if none is.
func (s *memberState) knownIncarnation() uint64 {
	return max(s.incarnation, s.instance.Incarnation)
}

// noteIncarnation records a restart if a newer process than the known one shows.
func (s *memberState) noteIncarnation(at time.Time, incarnation uint64) {
	if known := s.knownIncarnation(); known != 0 && incarnation > known {
		s.restartedAt = at
	}
}

func (s *memberState) isStaying() bool {
	return s.listed && !s.draining && s.instance.State == tlwire.InstanceStateLive
}

func (s *memberState) liveness(now time.Time, goneAfter time.Duration) Liveness {
	switch {
	case s.suspectedAt.IsZero():
		return Alive
	case now.Sub(s.suspectedAt) < goneAfter:
		return Suspected
	default:
		return Gone
	}
}
