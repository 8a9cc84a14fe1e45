package tlmember

import (
	"net/netip"
	"time"

	"trefoillanding/core/tlwire"
)

// Member is an entry instance that can be used.
type Member struct {
	Name       string
	DataCentre string
	Address    netip.AddrPort
	// Incarnation rises with each start; 0 where it is not known.
	Incarnation uint64
	// Capacity is its processor, in cores; 0 where it is not known.
	Capacity float64
}

// state is all that a view holds of one instance.
type state struct {
	instance    tlwire.Instance
	listed      bool
	draining    bool
	incarnation uint64
	// heard is when it last showed itself, here or to a peer.
	heard time.Time
	// waitFrom is from when its silence counts, where that is later.
	waitFrom  time.Time
	doubted   time.Time
	news      time.Time
	firstHand bool
}

func (s *state) member() Member {
	return Member{
		Name:        s.instance.Name,
		DataCentre:  s.instance.DataCentre,
		Address:     s.instance.Address,
		Incarnation: max(s.incarnation, s.instance.Incarnation),
		Capacity:    s.instance.Capacity,
	}
}

func (s *state) isStaying() bool {
	return s.listed && !s.draining && s.instance.State == tlwire.InstanceStateLive
}

func (s *state) fate(now time.Time, goneAfter time.Duration) Liveness {
	switch {
	case s.doubted.IsZero():
		return Alive
	case now.Sub(s.doubted) < goneAfter:
		return Suspected
	default:
		return Gone
	}
}
