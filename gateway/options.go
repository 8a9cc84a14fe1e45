package gateway

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"runtime/debug"
	"time"

	"github.com/sirupsen/logrus"

	"trefoillanding/core/tlendpoint"
	"trefoillanding/core/tlmember"
	"trefoillanding/core/tlplace"
	"trefoillanding/core/tlquota"
	"trefoillanding/core/tlroute"
	"trefoillanding/io/tlbooking"
	"trefoillanding/io/tlgateway"
	"trefoillanding/io/tlguard"
	"trefoillanding/io/tllimiter"
	"trefoillanding/io/tlmeter"
	"trefoillanding/io/tloutbox"
	"trefoillanding/io/tlpeer"
	"trefoillanding/io/tlrandom"
	"trefoillanding/io/tlslotter"
	"trefoillanding/io/tltrace"
	"trefoillanding/platform"
)

const (
	// peerTimeout bounds one message to another instance.
	peerTimeout = time.Second
	// peerIdleTimeout is how long an idle connection between instances is kept open.
	peerIdleTimeout = 30 * time.Second
	// homeCandidates is how many instances may be home of a service: with a few, a
	// rolling restart seldom moves a home, and many services still spread over the fleet.
	homeCandidates = 3
	// shutdownMargin is the part of the grace period that is left for the end of the process.
	shutdownMargin = 400 * time.Millisecond
	// lastAnswersMargin is the part before that in which requests that outlast the grace period are answered.
	lastAnswersMargin = 300 * time.Millisecond
	// drainPollInterval is the time between checks whether all requests have ended.
	drainPollInterval = 20 * time.Millisecond
	// retryBudgetFraction is the fraction of the retry budget that is used, since instances see the fleet change at different times.
	retryBudgetFraction = 0.85
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
		Idle:         peerIdleTimeout,
		Wrap:         func(l net.Listener) net.Listener { return i.pools.peers.listener(l.(*net.TCPListener)) },
		ConnState:    noteState,
		ConnContext:  withConn,
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
			return tlpeer.LocalState{Generation: i.version(), Draining: i.draining.Load(), Open: i.open()}
		},
		OnGeneration: i.requestCatchUp,
	}
}

func (i *Instance) version() uint64 {
	t := i.table.Load()
	if t == nil {
		return 0
	}
	return t.Version
}

func (i *Instance) coordinatorOptions() tlbooking.Options {
	return tlbooking.Options{
		Self:       i.self,
		DataCentre: i.settings.DataCentre,
		Mesh:       i.mesh,
		Homes:      func(service string) []string { return i.gossip.Successors(service, homeCandidates, tlbooking.MaxHomes) },
		IsGone:     i.isOwnerGone,
		Post:       i.outboxPost,
		Now:        time.Now,
		Random:     tlrandom.New,

		Log:   i.log,
		Count: i.counters.reservations.Count,
	}
}

func (i *Instance) guardOptions() tlguard.Options {
	return tlguard.Options{
		Self:         i.settings.Name,
		Mesh:         i.mesh,
		Home:         i.homeOf,
		Others:       i.otherInstances,
		Post:         i.outboxPost,
		HasEnded:     i.hasEnded,
		Now:          time.Now,
		OnQuarantine: i.onQuarantine,
		OnLifted:     i.onQuarantineLifted,
		Log:          i.log,
		Count:        i.counters.guard.Count,
	}
}

// hasEnded reports whether an endpoint has ended, other than one that leaves.
func (i *Instance) hasEnded(ctx context.Context, e tlendpoint.Endpoint) bool {
	k, isUsed := i.directory.Find(e.ID)
	isLeaving := k.IsSameIncarnation(e) && !isUsed
	return !isLeaving && i.sender.HasEnded(ctx, e) && i.hasEndedForOthers(ctx, e)
}

// mayHaveEnded reports whether an endpoint may have ended, other than one that leaves or has
// left. It counts as ended too where its end can't be told from a cut of this instance.
func (i *Instance) mayHaveEnded(ctx context.Context, e tlendpoint.Endpoint) bool {
	if _, isUsed := i.directory.Find(e.ID); !isUsed || !i.sender.HasEnded(ctx, e) {
		return false
	}
	hasEnded, err := i.askWhetherEnded(ctx, e)
	return hasEnded || err != nil
}

// homeOf returns the instance that is the home of a service.
func (i *Instance) homeOf(service string) string {
	return i.gossip.Oldest(service, homeCandidates)
}

// limitHomePurpose is the purpose, with the ID of an endpoint behind it, for which gossip
// picks the instance that gives its permits.
const limitHomePurpose = "limit/"

// limitHomeOf returns the instance that gives the permits for an endpoint.
func (i *Instance) limitHomeOf(endpoint string) string {
	return i.gossip.Oldest(limitHomePurpose+endpoint, homeCandidates)
}

func (i *Instance) limiterOptions() tllimiter.Options {
	return tllimiter.Options{
		Self:      i.settings.Name,
		Mesh:      i.mesh,
		Directory: i.directory,
		Home:      i.limitHomeOf,
		Others:    i.otherInstances,
		Fleet:     i.fleetInTouch,
		Post:      i.outboxPost,
		Now:       time.Now,
		Log:       i.log,
		Count:     i.counters.limits.Count,
	}
}

// quotaHomePurpose is the purpose, with the name of an organisation behind it, for which
// gossip picks the instance that counts its requests.
const quotaHomePurpose = "quota/"

// defaultQuotaWindow is the time over which quotas are checked where no other is set.
const defaultQuotaWindow = 10 * time.Second

// quotaHomeOf returns the process that counts an organisation's requests.
func (i *Instance) quotaHomeOf(organisation string) tlquota.Home {
	m := i.gossip.OldestMember(quotaHomePurpose+organisation, homeCandidates)
	return tlquota.Home{Name: m.Name, Incarnation: m.Incarnation}
}

// quotaFleet returns what this instance knows of the number of instances.
func (i *Instance) quotaFleet() tlmeter.Fleet {
	inTouch, listed := i.fleetInTouch()
	f := tlmeter.Fleet{InTouch: inTouch, Listed: listed}
	for _, m := range i.gossip.All() {
		if m.Name < i.settings.Name {
			f.Rank++
		}
		if m.State == tlmember.StateLive && !m.RestartedAt.IsZero() {
			f.Restarts = append(f.Restarts, m.RestartedAt)
		}
	}
	return f
}

// quotaWindow returns the time over which quotas are checked.
func (i *Instance) quotaWindow() time.Duration {
	return cmp.Or(i.settings.Gateway.QuotaWindow, defaultQuotaWindow)
}

func (i *Instance) meterOptions() tlmeter.Options {
	return tlmeter.Options{
		Self:        i.settings.Name,
		Incarnation: i.self.Incarnation,
		Mesh:        i.mesh,
		Home:        i.quotaHomeOf,
		Fleet:       i.quotaFleet,
		Window:      i.quotaWindow(),
		Post:        i.outboxPost,
		Now:         time.Now,
		Log:         i.log,
		Add:         i.counters.quotas.Add,
	}
}

func (i *Instance) slotterOptions() tlslotter.Options {
	return tlslotter.Options{
		Self:      i.self,
		Mesh:      i.mesh,
		Home:      i.homeOf,
		Others:    i.otherInstances,
		Endpoints: i.directory.InUse,
		// Until what endpoints take well is estimated, their listed slots count.
		Capacity: func(string) (int, bool) { return 0, false },
		IsGone:   i.isOwnerGone,
		Post:     i.outboxPost,
		Now:      time.Now,
		Log:      i.log,
		Count:    i.counters.slots.Count,
	}
}

// isOwnerGone reports whether the requests of an instance have ended with it.
func (i *Instance) isOwnerGone(o tlplace.Owner) bool {
	return i.gossip.OwnerLiveness(o.Name, o.Incarnation) == tlmember.Gone
}

// otherInstances returns the names of the other instances that run, those that drain included.
func (i *Instance) otherInstances() []string {
	var names []string
	for _, m := range i.gossip.All() {
		isInTouch := m.State != tlmember.StateSuspected && m.State != tlmember.StateGone
		if m.Name != i.settings.Name && isInTouch {
			names = append(names, m.Name)
		}
	}
	return names
}

// fleetInTouch returns how many instances are in touch with this one, itself included, and
// how many are listed. An instance that drains is a home only while all do, each its own.
func (i *Instance) fleetInTouch() (inTouch, listed int) {
	listed = len(i.gossip.All())
	if i.draining.Load() {
		return 1, listed
	}
	return 1 + len(i.otherInstances()), listed
}

// outboxPost sends a one-way message to another instance without waiting.
func (i *Instance) outboxPost(peer, kind string, send func(context.Context) error) {
	i.outbox.Post(peer, tloutbox.Message{Kind: kind, Send: send})
}

func (i *Instance) gatewayDeps() tlgateway.Deps {
	s := i.settings.Gateway
	return tlgateway.Deps{
		Wire: tlgateway.Wire{
			DecodeCall:         platform.DecodeCall,
			CleanRequest:       platform.CleanRequest,
			EncodeOrganisation: platform.EncodeOrganisation,
			CleanAnswer:        platform.CleanAnswer,
			DecodePrefilled:    platform.DecodePrefilled,
			ReleaseCall:        platform.ReleaseCall,
		},
		Table:          i.servingTable,
		BehindFor:      i.lag.behind,
		Directory:      i.directory,
		Sender:         i.sender,
		Reservations:   tlgateway.Reservations{Reserve: i.coordinator.Place, Report: i.coordinator.Report, ReportAnswer: i.coordinator.ReportAnswer},
		Quotas:         tlgateway.Quotas{Admit: i.meter.Admit, GiveBack: i.meter.GiveBack, Tolerance: s.QuotaTolerance, Slack: s.QuotaSlack, Window: i.quotaWindow()},
		Slots:          i.slotter,
		Guard:          i.guard,
		Origins:        i.registry,
		Incarnation:    i.incarnationOfEngine,
		MayHaveEnded:   i.mayHaveEnded,
		Prober:         i.prober,
		Forward:        i.forward,
		Budget:         i.budget,
		Memory:         i.memory,
		OnReceived:     noteReceived,
		IsDraining:     i.draining.Load,
		Now:            time.Now,
		Random:         rand.Float64,
		Traces:         tltrace.NewRecorder(i.log, uint64(s.TraceEvery), time.Now, i.counters.traces.Count),
		Count:          i.counters.gateway.Count,
		OnPanic:        i.logPanic,
		ObserveLatency: func(k tlroute.Kind, d time.Duration) { i.counters.latencies[k].Observe(d) },
	}
}

func (i *Instance) logPanic(request string, cause any) {
	i.log.WithFields(logrus.Fields{"Request": request, "Cause": fmt.Sprint(cause), "Stack": string(debug.Stack())}).
		Error("request met a fault of the gateway")
}

func (i *Instance) newBudget() *tlgateway.RetryBudget {
	return tlgateway.NewRetryBudget(retryAllowance(*i.settings.Gateway), i.fleetSize, time.Now)
}

// fleetSize returns how many instances share the retry budget.
func (i *Instance) fleetSize() int {
	l := i.instanceList.Load()
	if l == nil {
		return 1
	}
	return len(l.Instances)
}

// readPlatformBounds fills in the settings that are not set from the platform's bounds.
func (i *Instance) readPlatformBounds() {
	g := i.settings.Gateway
	if g == nil || g.PlatformBounds == "" {
		return
	}
	b, err := platform.DecodeBounds(g.PlatformBounds)
	if err != nil {
		i.log.WithField("Cause", err.Error()).Warn("platform's bounds ignored")
		return
	}
	g.QuotaTolerance = cmp.Or(g.QuotaTolerance, b.Tolerance)
	g.QuotaSlack = cmp.Or(g.QuotaSlack, b.Slack)
	g.QuotaWindow = cmp.Or(g.QuotaWindow, b.Window)
}
