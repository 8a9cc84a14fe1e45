package trefoillanding

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"trefoillanding/core/tlconfig"
	"trefoillanding/core/tleventid"
	"trefoillanding/core/tlwire"
	"trefoillanding/io/tlconfigure"
	"trefoillanding/io/tlengine"
	"trefoillanding/io/tlentry"
	"trefoillanding/io/tlhome"
	"trefoillanding/io/tlledger"
	"trefoillanding/io/tlmetric"
	"trefoillanding/io/tlorphan"
	"trefoillanding/io/tloutbox"
	"trefoillanding/io/tlpeer"
	"trefoillanding/io/tlplain"
	"trefoillanding/io/tlplatform"
	"trefoillanding/io/tlreconcile"
	"trefoillanding/io/tlrelay"
)

// Instance is an entry instance: it accepts callers' requests and is a peer of the
// other instances.
type Instance struct {
	settings         tlwire.Settings
	log              *logrus.Entry
	incarnation      uint64
	signer           *tleventid.Signer
	metrics          *tlmetric.Set
	platformCounters *tlmetric.Group

	platform    *tlplatform.Client
	mesh        *tlpeer.Mesh
	gossip      *tlpeer.Gossip
	outbox      *tloutbox.Outbox
	engines     *tlengine.Client
	relay       *tlrelay.Relay
	homes       *tlhome.Homes
	sweeper     *tlorphan.Sweeper
	reconciler  *tlreconcile.Reconciler
	claims      *tlledger.Home
	ledger      *tlledger.Ledger
	plainCaller *tlplain.Caller
	entry       *tlentry.Entry
	server      *tlentry.Server

	configurer *tlconfigure.Configurer

	config     atomic.Pointer[configInForce]
	listedLive atomic.Pointer[map[string]bool]
	draining   atomic.Bool

	ctx     context.Context
	stop    context.CancelFunc
	running sync.WaitGroup
	done    chan struct{}
}

// configInForce is the configuration in force with its generation.
type configInForce struct {
	generation uint64
	config     *tlconfig.Config
}

// New starts an instance. It returns an error when a certificate can't be loaded or
// an address can't be bound, and leaves nothing running then.
func New(s tlwire.Settings, l *logrus.Logger) (*Instance, error) {
	i := &Instance{
		settings:    s,
		log:         l.WithField("Instance", s.Name),
		incarnation: uint64(time.Now().UnixNano()),
		signer:      newSigner(s.Security.EventKeys, l),
		metrics:     tlmetric.New(),
		done:        make(chan struct{}),
	}
	i.ctx, i.stop = context.WithCancel(context.Background())
	if err := i.open(); err != nil {
		return nil, err
	}
	i.start()
	i.log.WithField("Listen", s.Listen).Info("instance started")
	return i, nil
}

// open builds the parts and binds the listening addresses.
func (i *Instance) open() error {
	certificate, err := tlentry.TLSConfig(i.settings.Security, time.Now)
	if err != nil {
		return err
	}
	o, err := i.peerOptions()
	if err != nil {
		return err
	}
	if i.mesh, err = tlpeer.New(o); err != nil {
		return fmt.Errorf("field PeerListen: %w", err)
	}
	i.build()
	i.server, err = tlentry.Listen(i.entry, i.settings.Listen, certificate)
	if err != nil {
		i.closeParts()
		return fmt.Errorf("field Listen: %w", err)
	}
	return nil
}

func (i *Instance) build() {
	i.platformCounters = i.metrics.Group("Platform", listFailed)
	i.platform = tlplatform.New(i.settings.Platform.Address, i.settings.Platform.Timeout)
	i.outbox = tloutbox.New(peerTimeout, i.metrics)
	i.engines = tlengine.New(i.engineOptions())
	i.homes = tlhome.New(i.homeDeps())
	i.gossip = tlpeer.NewGossip(i.mesh, i.gossipOptions())
	i.configurer = tlconfigure.New(i.configureOptions())
	i.claims = tlledger.NewHome(i.claimOptions())
	i.ledger = tlledger.NewLedger(i.ledgerOptions())
	i.plainCaller = tlplain.New(i.plainOptions())
	i.sweeper = i.newSweeper()
	i.reconciler = i.newReconciler()
	i.relay = tlrelay.New(i.relayDeps())
	i.entry = tlentry.New(i.entryDeps())
	i.handleMessages()
	i.handleClaims()
}

func (i *Instance) start() {
	i.mesh.Start()
	i.gossip.Start()
	i.running.Go(func() { i.pollInstanceList(i.ctx) })
	i.configurer.Start()
	i.running.Go(func() { i.maintainHomes(i.ctx) })
	i.running.Go(func() { i.sweeper.Run(i.ctx) })
	i.running.Go(func() { i.reconciler.Run(i.ctx) })
}

// activateConfig puts a configuration in force at this instance.
func (i *Instance) activateConfig(generation uint64, c *tlconfig.Config) {
	i.config.Store(&configInForce{generation, c})
	i.log.WithField("Generation", generation).Info("configuration in force")
	i.updateHomes()
}

// Drain announces that the instance is leaving, serves the requests in flight and
// returns when the last of them or ctx has ended. It accepts requests for
// Drain.KeepFor plus Peers.SuspectAfter: the last instance to learn of the drain
// may still list this one until then, and callers keep that list for KeepFor.
func (i *Instance) Drain(ctx context.Context) error {
	i.draining.Store(true)
	i.log.Info("draining")
	accept := i.settings.Drain.KeepFor + i.settings.Peers.SuspectAfter
	if i.settings.Drain.Timeout > 0 {
		var stop context.CancelFunc
		ctx, stop = context.WithTimeout(ctx, accept+i.settings.Drain.Timeout)
		defer stop()
	}
	keep := time.NewTimer(accept)
	defer keep.Stop()
	select {
	case <-keep.C:
	case <-ctx.Done():
	}
	err := i.server.Shutdown(ctx)
	i.log.WithField("Open", i.entry.InFlight()).Info("drained")
	return err
}

// Close stops the instance without draining; callers can resume open streams at other
// instances.
func (i *Instance) Close() {
	i.relay.Shutdown()
	_ = i.server.Close()
	i.stop()
	i.running.Wait()
	i.closeParts()
	close(i.done)
}

// Done returns a channel that is closed when Close has finished.
func (i *Instance) Done() <-chan struct{} {
	return i.done
}

func (i *Instance) closeParts() {
	ctx, stop := context.WithTimeout(context.Background(), cancelsTimeout)
	defer stop()
	i.configurer.Close()
	i.ledger.Close(ctx)
	i.claims.Close()
	i.homes.Close()
	i.outbox.Close()
	i.mesh.Close()
	i.plainCaller.Close()
	i.engines.Close(ctx)
	i.platform.Close()
}

func (i *Instance) current() (uint64, *tlconfig.Config) {
	f := i.config.Load()
	if f == nil {
		return 0, nil
	}
	return f.generation, f.config
}

// newSigner returns a signer of event ids; without keys it makes one that is valid
// in this process only.
func newSigner(keys []string, l *logrus.Logger) *tleventid.Signer {
	if len(keys) == 0 {
		l.Warn("Security.EventKeys is not set: streams can't be resumed at other instances")
		keys = []string{uuid.NewString()}
	}
	return tleventid.New(keys)
}
