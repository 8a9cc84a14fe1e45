package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"trefoillanding/core/tlendpoint"
	"trefoillanding/core/tlplace"
	"trefoillanding/core/tlroute"
	"trefoillanding/core/tlwire"
	"trefoillanding/io/tlbooking"
	"trefoillanding/io/tldirectory"
	"trefoillanding/io/tlfollow"
	"trefoillanding/io/tlgateway"
	"trefoillanding/io/tlguard"
	"trefoillanding/io/tllimiter"
	"trefoillanding/io/tlmeter"
	"trefoillanding/io/tlmetric"
	"trefoillanding/io/tlorder"
	"trefoillanding/io/tloutbox"
	"trefoillanding/io/tlpeer"
	"trefoillanding/io/tlprober"
	"trefoillanding/io/tlrandom"
	"trefoillanding/io/tlregistry"
	"trefoillanding/io/tlsend"
	"trefoillanding/io/tlslotter"
	"trefoillanding/platform"
)

// Instance is one gateway instance on the users' platform.
type Instance struct {
	settings tlwire.Settings
	log      *logrus.Entry
	metrics  *tlmetric.Set
	counters counters

	store     *platform.Store
	directory *tldirectory.Directory
	sender    *tlsend.Sender
	servers   servers
	memory    *tlgateway.Memory
	pools     pools

	// The fields below are set once registration has returned the incarnation.
	self           tlplace.Owner
	mesh           *tlpeer.Mesh
	gossip         *tlpeer.Gossip
	outbox         *tloutbox.Outbox
	coordinator    *tlbooking.Coordinator
	limiter        *tllimiter.Limiter
	meter          *tlmeter.Meter
	slotter        *tlslotter.Slotter
	guard          *tlguard.Guard
	registry       *tlregistry.Registry
	prober         *tlprober.Prober
	forwarder      *tlsend.Forwarder
	avoidedPeers   avoidedPeers
	gateway        *tlgateway.Gateway
	roleController *tlorder.Controller
	budget         *tlgateway.RetryBudget

	// configMu serialises the application of configurations; it is acquired before all other locks.
	configMu sync.Mutex

	table        atomic.Pointer[tlroute.Table]
	instanceList atomic.Pointer[tlwire.InstanceList]
	draining     atomic.Bool
	// peerReachedStoreAt is when another instance last answered that it reaches the store while
	// this one does not, in Unix nanoseconds.
	peerReachedStoreAt atomic.Int64
	// storeWentBackAt is when the endpoints' entries last went back to a copy, in Unix nanoseconds.
	storeWentBackAt atomic.Int64
	// newestPeerVersion is the newest configuration version that another instance reported;
	// catchUpRequests signals that it is newer than this instance's.
	newestPeerVersion atomic.Uint64
	catchUpRequests   chan struct{}
	lag               *configLag
	// packed has the records that were packed for other instances.
	packed packedRecords
	// transfers has the calls for many records that are under way, by topic.
	transferMu sync.Mutex
	transfers  map[string]*transfer
	built      atomic.Bool
	// hasSetEngines is set once the coordinator has the engines of a configuration.
	hasSetEngines atomic.Bool
	endpoints     endpointEntries
	instances     instanceEntries
	quarantines   *quarantines
	followers     map[string]*tlfollow.Follower

	ctx     context.Context
	stop    context.CancelFunc
	running sync.WaitGroup
	done    chan struct{}
}

// New listens on the addresses of the settings; nothing is served before Run.
func New(s tlwire.Settings, l *logrus.Logger) (*Instance, error) {
	return newInstance(s, l, tlsend.NewDialer().DialContext)
}

// dialFunc opens connections to endpoints.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

func newInstance(s tlwire.Settings, l *logrus.Logger, dial dialFunc) (*Instance, error) {
	i := &Instance{
		settings: s,
		log:      l.WithField("Instance", s.Name),
		metrics:  tlmetric.New(),
		done:     make(chan struct{}),

		followers:       map[string]*tlfollow.Follower{},
		catchUpRequests: make(chan struct{}, 1),
		packed:          packedRecords{byTopic: map[string]packedBatch{}},
		transfers:       map[string]*transfer{},
	}
	i.lag = &configLag{log: i.log}
	i.counters = newCounters(i.metrics)
	i.readPlatformBounds()
	i.ctx, i.stop = context.WithCancel(context.Background())
	i.store = platform.NewStore(s.Platform.Address, func() { i.counters.store.Count(storeCalls) })
	i.directory = tldirectory.New(tlrandom.New(), i.logFailingChange)
	i.directory.OnPaceChange = i.logPaceChange
	i.planMemory()
	i.sender = tlsend.New(tlsend.Codec{
		EncodeSend:   platform.EncodeSend,
		DecodeAnswer: platform.DecodeAnswer,
	}, i.sendHooks(i.limitSockets(dial)))
	i.endpoints = newEndpointEntries()
	i.instances = newInstanceEntries()
	i.quarantines = newQuarantines()
	if err := i.listen(); err != nil {
		return nil, err
	}
	return i, nil
}

// Run registers the instance and starts it; it serves until Close. It fails if ctx
// ends before the instance is registered, or if the peer address cannot be used.
func (i *Instance) Run(ctx context.Context) error {
	i.running.Go(i.serveLookups)
	incarnation, err := i.register(ctx)
	if err != nil {
		return err
	}
	i.self = tlplace.Owner{Name: i.settings.Name, Incarnation: incarnation}
	if err := i.build(); err != nil {
		return err
	}
	i.start()
	i.log.WithFields(logrus.Fields{"Listen": i.settings.Listen, "Incarnation": incarnation}).Info("instance started")
	return nil
}

func (i *Instance) build() error {
	var err error
	i.mesh, err = tlpeer.New(i.peerOptions())
	if err != nil {
		return fmt.Errorf("field PeerListen: %w", err)
	}
	i.outbox = tloutbox.New(peerTimeout, i.metrics)
	i.gossip = tlpeer.NewGossip(i.mesh, i.gossipOptions())
	i.coordinator = tlbooking.New(i.coordinatorOptions())
	i.limiter = tllimiter.New(i.limiterOptions())
	i.meter = tlmeter.New(i.meterOptions())
	i.slotter = tlslotter.New(i.slotterOptions())
	i.prober = tlprober.New(i.proberOptions())
	i.forwarder = tlsend.NewForwarder(platform.DecodeAnswer)
	i.mesh.HandleHTTP(forwardPath, http.HandlerFunc(i.serveForwarded))
	i.guard = tlguard.New(i.guardOptions())
	i.registry = tlregistry.New(i.registryOptions())
	i.budget = i.newBudget()
	i.gateway = tlgateway.New(i.gatewayDeps())
	i.roleController = tlorder.New(i.roleControllerOptions())
	i.followConfig()
	i.followEndpoints()
	i.followInstances()
	i.followQuarantines()
	i.handleRecordsCalls()
	i.handleLeavingReports()
	i.handleEndedCalls()
	i.built.Store(true)
	return nil
}

func (i *Instance) start() {
	i.mesh.Start()
	i.gossip.Start()
	i.running.Go(func() { i.coordinator.Run(i.ctx) })
	i.running.Go(func() { i.guard.Run(i.ctx) })
	i.running.Go(func() { i.registry.Run(i.ctx) })
	i.running.Go(func() { i.prober.Run(i.ctx) })
	i.running.Go(func() { i.roleController.Run(i.ctx) })
	i.running.Go(func() { i.pollEngineLoads(i.ctx) })
	for _, f := range i.followers {
		i.running.Go(func() { f.Run(i.ctx) })
	}
	i.running.Go(func() { i.catchUpConfig(i.ctx) })
	i.running.Go(func() { i.expireEndpoints(i.ctx) })
	i.running.Go(func() { i.cleanUpEntries(i.ctx) })
	i.running.Go(func() { i.writeQuarantines(i.ctx) })
	i.running.Go(func() { i.serveCallers(i.ctx) })
}

// isReady reports whether the instance has a configuration that isn't known to be old, and
// endpoints, and is not draining.
func (i *Instance) isReady() bool {
	return !i.draining.Load() && i.servingTable() != nil && i.lag.behind() < tlgateway.MaxBehind
}

// servingTable returns the configuration in force, or nil until the directory and the
// coordinator have its endpoints: a request would find no engine before.
func (i *Instance) servingTable() *tlroute.Table {
	if !i.hasSetEngines.Load() {
		return nil
	}
	return i.table.Load()
}

// maxAddresses bounds the addresses in a lookup answer.
const maxAddresses = 64

// addresses returns where callers of a data centre should connect: all instances
// that accept requests, in a random order or, where there are more than
// maxAddresses, those of the data centre before others.
func (i *Instance) addresses(dataCentre string) []netip.AddrPort {
	if !i.built.Load() {
		return nil
	}
	var near, far []netip.AddrPort
	for _, m := range i.gossip.Live() {
		if m.Name == i.settings.Name && !i.isReady() {
			continue
		}
		if m.DataCentre == dataCentre {
			near = append(near, m.Address)
		} else {
			far = append(far, m.Address)
		}
	}
	shuffle(near)
	shuffle(far)
	all := append(near, far...)
	return all[:min(len(all), maxAddresses)]
}

func shuffle(list []netip.AddrPort) {
	rand.Shuffle(len(list), func(a, b int) { list[a], list[b] = list[b], list[a] })
}

func (i *Instance) logFailingChange(id string, _, after bool) {
	event := "endpoint trusted again"
	if after {
		event = "endpoint doubted"
	}
	i.log.WithField("Endpoint", id).Info(event)
}

// publishEndpoints passes the endpoints that were read to the directory and the coordinator.
func (i *Instance) publishEndpoints(all []tlendpoint.Endpoint) {
	i.directory.Set(time.Now(), all)
	i.setEngines(i.table.Load())
}

// setEngines passes the engines in the directory that a configuration names to the
// coordinator; t may be nil.
func (i *Instance) setEngines(t *tlroute.Table) {
	if t == nil || !i.directory.IsLoaded() {
		return
	}
	for _, s := range t.EngineServices() {
		i.coordinator.SetEngines(s, i.directory.Endpoints(s.Name))
	}
	i.hasSetEngines.Store(true)
}

// Drain removes the instance from lookups, accepts requests for as long as callers
// may cache a lookup answer, and returns when the last request has ended, or when
// ctx or the grace period has. Requests that come later are served if they end in time, and
// refused otherwise; those that are still served before the end of the grace are answered.
func (i *Instance) Drain(ctx context.Context) {
	i.draining.Store(true)
	i.log.WithField("Open", i.open()).Info("draining")
	lasts := i.settings.Gateway.Grace - shutdownMargin
	endBy := time.Now().Add(lasts - lastAnswersMargin)
	ctx, stop := context.WithTimeout(ctx, lasts)
	defer stop()
	if i.built.Load() {
		i.gossip.Announce()
		i.running.Go(func() { i.appendLeavingEntry(ctx) })
	} else {
		i.running.Go(func() { i.dropEntry(ctx, i.settings.Name) })
	}
	wait(ctx, i.settings.Gateway.AcceptFor)
	i.stopAccepting()
	if !i.built.Load() {
		return
	}
	i.gateway.EndBy(endBy)
	soon, cancel := context.WithDeadline(ctx, endBy)
	defer cancel()
	i.waitForRequests(soon)
	outlasted := i.open()
	i.gateway.End()
	i.waitForRequests(ctx)
	i.log.WithFields(logrus.Fields{"Open": i.open(), "Outlasted": outlasted, "Complete": i.open() == 0}).Info("drained")
}

// stopAccepting closes the callers' address and idle connections, and the others after
// their next answer. http.Server's Shutdown would drop requests that it has read by then.
func (i *Instance) stopAccepting() {
	i.servers.callers.SetKeepAlivesEnabled(false)
	_ = i.servers.callerListener.Close()
}

// waitForRequests waits until no request is served and all answers have been written.
func (i *Instance) waitForRequests(ctx context.Context) {
	for ctx.Err() == nil && (i.open() > 0 || i.pools.callers.isAnswering()) {
		wait(ctx, drainPollInterval)
	}
	// Answers to other instances are written after the last request has ended.
	wait(ctx, drainPollInterval)
}

func (i *Instance) open() int {
	if !i.built.Load() {
		return 0
	}
	return i.gateway.InFlight()
}

// Close stops the instance at once and waits until all its goroutines have ended.
func (i *Instance) Close() {
	i.servers.close()
	i.stop()
	if i.mesh != nil {
		i.mesh.Close()
		i.outbox.Close()
		i.forwarder.Close()
	}
	i.running.Wait()
	i.sender.Close()
	i.store.Close()
	i.log.Info("instance stopped")
	close(i.done)
}

// Done returns a channel that is closed when Close has finished.
func (i *Instance) Done() <-chan struct{} {
	return i.done
}

func wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
