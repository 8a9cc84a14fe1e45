package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
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
	"trefoillanding/io/tlmetric"
	"trefoillanding/io/tlorder"
	"trefoillanding/io/tloutbox"
	"trefoillanding/io/tlpeer"
	"trefoillanding/io/tlrandom"
	"trefoillanding/io/tlsend"
	"trefoillanding/platform"
)

// Instance is one entry instance on the users' platform.
type Instance struct {
	settings tlwire.Settings
	log      *logrus.Entry
	metrics  *tlmetric.Set
	counters counters

	store     *platform.Store
	directory *tldirectory.Directory
	sender    *tlsend.Sender
	servers   servers

	// The parts below are made once the store has given the incarnation.
	self    tlplace.Owner
	mesh    *tlpeer.Mesh
	gossip  *tlpeer.Gossip
	outbox  *tloutbox.Outbox
	desk    *tlbooking.Coordinator
	gateway *tlgateway.Gateway
	orderer *tlorder.Controller
	budget  *tlgateway.RetryBudget

	// configuring orders those who put a configuration in force; it is taken before all other locks.
	configuring sync.Mutex

	table   atomic.Pointer[tlroute.Table]
	known   atomic.Pointer[tlwire.InstanceList]
	leaving atomic.Bool
	// storeServed is when another instance was last heard to reach the store while this one did not, in Unix nanoseconds.
	storeServed atomic.Int64
	// newest is the newest version that another instance was heard to have; behind tells that it is newer than this one's.
	newest    atomic.Uint64
	behind    chan struct{}
	built     atomic.Bool
	endpoints endpointFold
	instances instanceFold
	followers map[string]*tlfollow.Follower

	ctx     context.Context
	stop    context.CancelFunc
	running sync.WaitGroup
	done    chan struct{}
}

// New listens on the addresses of the settings; nothing is served before Run.
func New(s tlwire.Settings, l *logrus.Logger) (*Instance, error) {
	i := &Instance{
		settings: s,
		log:      l.WithField("Instance", s.Name),
		metrics:  tlmetric.New(),
		done:     make(chan struct{}),

		followers: map[string]*tlfollow.Follower{},
		behind:    make(chan struct{}, 1),
	}
	i.counters = newCounters(i.metrics)
	i.ctx, i.stop = context.WithCancel(context.Background())
	i.store = platform.NewStore(s.Platform.Address, func() { i.counters.store.Count(storeCalls) })
	i.directory = tldirectory.New(tlrandom.New(), i.noteDoubt)
	i.sender = tlsend.New(tlsend.Codec{
		EncodeSend:   platform.EncodeSend,
		DecodeAnswer: platform.DecodeAnswer,
	}, func() { i.counters.endpoints.Count(connectionsMade) })
	i.endpoints = newEndpointFold()
	i.instances = newInstanceFold()
	if err := i.listen(); err != nil {
		return nil, err
	}
	return i, nil
}

// Run registers the instance and serves until Close; it returns early only when ctx ends.
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
	i.desk = tlbooking.New(i.deskOptions())
	i.budget = i.newBudget()
	i.gateway = tlgateway.New(i.gatewayDeps())
	i.orderer = tlorder.New(i.orderOptions())
	i.followConfig()
	i.followEndpoints()
	i.followInstances()
	i.shareRecords()
	i.built.Store(true)
	return nil
}

func (i *Instance) start() {
	i.mesh.Start()
	i.gossip.Start()
	i.running.Go(func() { i.desk.Run(i.ctx) })
	i.running.Go(func() { i.orderer.Run(i.ctx) })
	i.running.Go(func() { i.askReports(i.ctx) })
	for _, f := range i.followers {
		i.running.Go(func() { f.Run(i.ctx) })
	}
	i.running.Go(func() { i.catchUp(i.ctx) })
	i.running.Go(func() { i.expireEndpoints(i.ctx) })
	i.running.Go(func() { i.dropGone(i.ctx) })
	i.running.Go(func() { i.serveCallers(i.ctx) })
}

// isReady says whether the instance takes requests and stays.
func (i *Instance) isReady() bool {
	return !i.leaving.Load() && i.table.Load() != nil && i.directory.IsLoaded()
}

// mostAddresses is the most that a caller is told.
const mostAddresses = 64

// addresses returns where callers of a data centre should connect, in a random
// order: all instances that take requests or, where there are too many, those
// of the data centre before others.
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
	return all[:min(len(all), mostAddresses)]
}

func shuffle(list []netip.AddrPort) {
	rand.Shuffle(len(list), func(a, b int) { list[a], list[b] = list[b], list[a] })
}

func (i *Instance) noteDoubt(id string, _, after bool) {
	event := "endpoint trusted again"
	if after {
		event = "endpoint doubted"
	}
	i.log.WithField("Endpoint", id).Info(event)
}

// useEndpoints puts the endpoints that were read in force.
func (i *Instance) useEndpoints(all []tlendpoint.Endpoint) {
	i.directory.Set(all)
	t := i.table.Load()
	if t == nil {
		return
	}
	for _, s := range t.EngineServices() {
		i.desk.SetEngines(s, i.directory.Endpoints(s.Name))
	}
}

// Drain leaves the lookups, takes requests for as long as callers may keep an
// answer, and returns when the last request has ended or ctx has.
func (i *Instance) Drain(ctx context.Context) {
	i.leaving.Store(true)
	i.log.WithField("Open", i.open()).Info("draining")
	ctx, stop := context.WithTimeout(ctx, i.settings.Gateway.Grace-endMargin)
	defer stop()
	if i.built.Load() {
		i.gossip.Announce()
		i.running.Go(func() { i.writeLeaving(ctx) })
	} else {
		i.running.Go(func() { i.dropEntry(ctx, i.settings.Name) })
	}
	wait(ctx, i.settings.Gateway.AcceptFor)
	err := i.servers.callers.Shutdown(ctx)
	i.log.WithFields(logrus.Fields{"Open": i.open(), "Complete": err == nil}).Info("drained")
}

func (i *Instance) open() int {
	if !i.built.Load() {
		return 0
	}
	return i.gateway.InFlight()
}

// Close ends everything at once.
func (i *Instance) Close() {
	i.servers.close()
	i.stop()
	if i.mesh != nil {
		i.mesh.Close()
		i.outbox.Close()
	}
	i.running.Wait()
	i.sender.Close()
	i.store.Close()
	i.log.Info("instance stopped")
	close(i.done)
}

// Done is closed when everything has ended.
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
