package trefoillanding

import (
	"context"
	"net/netip"
	"time"

	"github.com/google/uuid"

	"trefoillanding/core/tlmember"
	"trefoillanding/core/tlselect"
	"trefoillanding/core/tlwire"
	"trefoillanding/io/tlengine"
	"trefoillanding/io/tlentry"
	"trefoillanding/io/tlhome"
	"trefoillanding/io/tlpeer"
	"trefoillanding/io/tlrandom"
	"trefoillanding/io/tlrelay"
)

const (
	// cancelsTimeout bounds the wait for outstanding cancels when an instance closes.
	cancelsTimeout = 2 * time.Second
	// resubmitAfter is how long an owner waits for a step from a home before it submits
	// the request again.
	resubmitAfter   = 500 * time.Millisecond
	loadInterval    = 500 * time.Millisecond
	loadTimeout     = time.Second
	engineGoneAfter = 2 * time.Second
	auditInterval   = time.Second
	// peerTimeout bounds one message to another instance.
	peerTimeout = time.Second
	// peerIdleTimeout is how long a connection between instances may be idle.
	peerIdleTimeout = 30 * time.Second
)

// listFailed counts failed reads of the instance list.
const listFailed = "ListFailed"

func (i *Instance) peerOptions() (tlpeer.Options, error) {
	s := i.settings
	o := tlpeer.Options{
		Name:         s.Name,
		Incarnation:  i.incarnation,
		DataCentre:   s.DataCentre,
		Listen:       s.PeerListen,
		Token:        s.Security.PeerToken,
		Heartbeat:    s.Peers.Heartbeat,
		SuspectAfter: s.Peers.SuspectAfter,
		Idle:         peerIdleTimeout,
		Now:          time.Now,
		Log:          i.log,
		Add:          i.metrics.Group("Peers", tlpeer.CounterNames...).Add,
	}
	if s.Security.PeerCertificate == "" {
		return o, nil
	}
	c, err := tlpeer.NewCredentials(s.Security.PeerCertificate, s.Security.PeerKey, s.Security.PeerAuthority, time.Now)
	o.Credentials = c
	return o, err
}

func (i *Instance) gossipOptions() tlpeer.GossipOptions {
	return tlpeer.GossipOptions{
		Timeouts: tlmember.Timeouts{
			SuspectAfter: i.settings.Peers.SuspectAfter,
			GoneAfter:    i.settings.Peers.SuspectAfter,
		},
		LocalState:   i.localState,
		OnGeneration: func(peer string, generation uint64) { i.configurer.ObservePeerGeneration(peer, generation) },
	}
}

func (i *Instance) engineOptions() tlengine.Options {
	g := i.metrics.Group("Engines", tlengine.Counters...)
	o := tlengine.NewOptions()
	o.Seed = i.incarnation
	o.Count = g.Add
	return o
}

func (i *Instance) homeDeps() tlhome.Deps {
	return tlhome.Deps{
		Deliver:     i.deliver,
		Load:        i.load,
		CacheEvents: i.engines.CacheEvents,
		Owns:        i.owns,
		Leaving:     i.leaving,
		Now:         time.Now,
		Seed:        i.incarnation,
		Times: tlhome.Times{
			LoadInterval:  loadInterval,
			Timeout:       loadTimeout,
			GoneAfter:     engineGoneAfter,
			AuditInterval: auditInterval,
		},
		Metrics: i.metrics,
	}
}

func (i *Instance) relayDeps() tlrelay.Deps {
	return tlrelay.Deps{
		Name:        i.settings.Name,
		Incarnation: i.incarnation,
		Homes: tlrelay.Homes{
			Name:   i.homeOf,
			Submit: i.submit,
			Report: i.report,
		},
		Engines:       i.relayEngines(),
		Pools:         i.poolsFor,
		Signer:        i.signer,
		Now:           time.Now,
		ResubmitAfter: resubmitAfter,
		Metrics:       i.metrics,
	}
}

func (i *Instance) relayEngines() tlrelay.Engines {
	c := i.engines
	return tlrelay.Engines{
		Prefill: c.Prefill,
		Import: func(ctx context.Context, a netip.AddrPort, r tlwire.ImportRequest) error {
			return c.Import(ctx, a, r, nil)
		},
		Decode: func(ctx context.Context, a netip.AddrPort, r tlwire.DecodeRequest) (tlrelay.Stream, error) {
			return relayStream(c.Decode(ctx, a, r))
		},
		Resume: func(ctx context.Context, a netip.AddrPort, r tlwire.ResumeRequest) (tlrelay.Stream, error) {
			return relayStream(c.Resume(ctx, a, r))
		},
		Cancel:  c.Cancel,
		Stalled: tlengine.IsStalled,
	}
}

func relayStream(s *tlengine.Stream, err error) (tlrelay.Stream, error) {
	if err != nil {
		return tlrelay.Stream{}, err
	}
	return tlrelay.Stream{Next: s.Next, Buffered: s.Buffered, Close: s.Close}, nil
}

func (i *Instance) entryDeps() tlentry.Deps {
	return tlentry.Deps{
		Settings: i.settings,
		Config:   i.current,
		Relay:    i.relay,
		Plain:    i.callPlain,
		Entries:  i.entries,
		Draining: i.draining.Load,
		Operator: i.operator(),
		Signer:   i.signer,
		NewID:    func() string { return uuid.Must(uuid.NewV7()).String() },
		Now:      time.Now,
		Metrics:  i.metrics,
	}
}

func (i *Instance) entries(service string) tlwire.Entries {
	random := tlrandom.New()
	return tlwire.Entries{
		Service: service,
		Entries: tlselect.Rank(i.candidates(), i.settings.DataCentre, random),
		KeepFor: i.settings.Drain.KeepFor.Seconds(),
	}
}
