package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"trefoillanding/core/tlmember"
	"trefoillanding/core/tlplace"
	"trefoillanding/core/tlroute"
	"trefoillanding/io/tlbooking"
	"trefoillanding/io/tlgateway"
	"trefoillanding/io/tloutbox"
	"trefoillanding/io/tlpeer"
	"trefoillanding/io/tlrandom"
	"trefoillanding/io/tltrace"
	"trefoillanding/platform"
)

const (
	// peerTimeout bounds one message to another instance.
	peerTimeout = time.Second
	// peerIdle is how long a connection between instances may be without use.
	peerIdle = 30 * time.Second
	// homeChoices is how many instances may be home of a service: with a few, a
	// roll moves a home seldom, and many services still spread over the fleet.
	homeChoices = 3
	// endMargin is kept of the grace for the process's own end.
	endMargin = 400 * time.Millisecond
	// budgetMargin is the part of the retry budget that is used: instances see the fleet change at different times.
	budgetMargin = 0.85
)

func (i *Instance) peerOptions() tlpeer.Options {
	s := i.settings
	return tlpeer.Options{
		Name:         s.Name,
		Incarnation:  i.self.Incarnation,
		DataCentre:   s.DataCentre,
		Listen:       s.PeerListen,
		Token:        s.Security.PeerToken,
		Heartbeat:    s.Peers.Heartbeat,
		SuspectAfter: s.Peers.SuspectAfter,
		Idle:         peerIdle,
		Now:          time.Now,
		Log:          i.log,
		Add:          i.counters.peers.Add,
	}
}

func (i *Instance) gossipOptions() tlpeer.GossipOptions {
	return tlpeer.GossipOptions{
		Timeouts: tlmember.Timeouts{
			SuspectAfter: i.settings.Peers.SuspectAfter,
			GoneAfter:    i.settings.Peers.SuspectAfter,
		},
		LocalState: func() tlpeer.LocalState {
			return tlpeer.LocalState{Generation: i.version(), Draining: i.leaving.Load(), Open: i.open()}
		},
		OnGeneration: i.hearVersion,
	}
}

func (i *Instance) version() uint64 {
	t := i.table.Load()
	if t == nil {
		return 0
	}
	return t.Version
}

func (i *Instance) deskOptions() tlbooking.Options {
	return tlbooking.Options{
		Self:       i.self,
		DataCentre: i.settings.DataCentre,
		Mesh:       i.mesh,
		Home:       func(service string) string { return i.gossip.Oldest(service, homeChoices) },
		IsGone: func(o tlplace.Owner) bool {
			return i.gossip.OwnerLiveness(o.Name, o.Incarnation) == tlmember.Gone
		},
		Post: func(peer, kind string, send func(context.Context) error) {
			i.outbox.Post(peer, tloutbox.Message{Kind: kind, Send: send})
		},
		Now:    time.Now,
		Random: tlrandom.New,
		Log:    i.log,
		Count:  i.counters.places.Count,
	}
}

func (i *Instance) gatewayDeps() tlgateway.Deps {
	s := i.settings.Gateway
	return tlgateway.Deps{
		Wire: tlgateway.Wire{
			DecodeCall:      platform.DecodeCall,
			CleanRequest:    platform.CleanRequest,
			CleanAnswer:     platform.CleanAnswer,
			DecodePrefilled: platform.DecodePrefilled,
			ReleaseCall:     platform.ReleaseCall,
		},
		Table:          i.table.Load,
		Directory:      i.directory,
		Sender:         i.sender,
		Reservations:   tlgateway.Reservations{Reserve: i.desk.Place, Report: i.desk.Report},
		Budget:         i.budget,
		IsDraining:     i.leaving.Load,
		Now:            time.Now,
		Random:         rand.Float64,
		Traces:         tltrace.NewRecorder(i.log, uint64(s.TraceEvery), time.Now, i.counters.traces.Count),
		Count:          i.counters.gateway.Count,
		ObserveLatency: func(k tlroute.Kind, d time.Duration) { i.counters.took[k].Observe(d) },
	}
}

func (i *Instance) newBudget() *tlgateway.RetryBudget {
	s := i.settings.Gateway
	return tlgateway.NewRetryBudget(tlgateway.RetryAllowance{
		Share:  budgetMargin * s.RetryShare,
		Burst:  budgetMargin * s.RetryBurst,
		Window: s.RetryWindow,
	}, i.fleetSize, time.Now)
}

// fleetSize returns how many instances share the allowance of retries.
func (i *Instance) fleetSize() int {
	l := i.known.Load()
	if l == nil {
		return 1
	}
	return len(l.Instances)
}
