package trefoillanding

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"trefoillanding/core/tlconfig"
	"trefoillanding/core/tleventid"
	"trefoillanding/core/tlwire"
	"trefoillanding/io/tlengine"
	"trefoillanding/io/tlentry"
	"trefoillanding/io/tlhome"
	"trefoillanding/io/tlmetric"
	"trefoillanding/io/tlrelay"
)

// Instance is one entry instance with all of its parts.
type Instance struct {
	settings    tlwire.Settings
	log         *logrus.Entry
	incarnation uint64
	metrics     *tlmetric.Set
	signer      *tleventid.Signer
	engines     *tlengine.Client
	relay       *tlrelay.Relay
	homes       *tlhome.Homes
	entry       *tlentry.Entry
	server      *tlentry.Server
	config      atomic.Pointer[inForce]
	draining    atomic.Bool
	done        chan struct{}
}

// inForce is a configuration with its generation.
type inForce struct {
	generation uint64
	config     *tlconfig.Config
}

// New starts an instance; nothing is left running when it fails.
func New(s tlwire.Settings, l *logrus.Logger) (*Instance, error) {
	i := &Instance{
		settings:    s,
		log:         l.WithField("Instance", s.Name),
		incarnation: uint64(time.Now().UnixNano()),
		metrics:     tlmetric.New(),
		signer:      newSigner(s.Security.EventKeys, l),
		done:        make(chan struct{}),
	}
	i.engines = tlengine.New(i.engineOptions())
	i.homes = tlhome.New(i.homeDeps())
	i.relay = tlrelay.New(i.relayDeps())
	i.entry = tlentry.New(i.entryDeps())
	server, err := tlentry.Listen(i.entry, s.Listen, nil)
	if err != nil {
		i.stopParts()
		return nil, err
	}
	i.server = server
	i.log.WithField("Listen", s.Listen).Info("instance started")
	return i, nil
}

// Use puts a configuration in force at this instance.
func (i *Instance) Use(generation uint64, c *tlconfig.Config) {
	i.config.Store(&inForce{generation, c})
	i.log.WithField("Generation", generation).Info("configuration in force")
	i.takeHomes()
}

// Drain lets callers learn that the instance leaves, answers what it has, and
// returns when the last request has ended or ctx has.
func (i *Instance) Drain(ctx context.Context) error {
	i.draining.Store(true)
	i.log.Info("draining")
	keep := time.NewTimer(i.settings.Drain.KeepFor)
	defer keep.Stop()
	select {
	case <-keep.C:
	case <-ctx.Done():
	}
	err := i.server.Shutdown(ctx)
	i.log.Info("drained")
	return err
}

// Close ends everything at once.
func (i *Instance) Close() {
	_ = i.server.Close()
	i.stopParts()
	close(i.done)
}

// Done is closed when everything has ended.
func (i *Instance) Done() <-chan struct{} {
	return i.done
}

func (i *Instance) stopParts() {
	ctx, stop := context.WithTimeout(context.Background(), cancelsTimeout)
	defer stop()
	i.homes.Close()
	i.engines.Close(ctx)
}

func (i *Instance) current() (uint64, *tlconfig.Config) {
	f := i.config.Load()
	if f == nil {
		return 0, nil
	}
	return f.generation, f.config
}

// newSigner returns a signer; without keys it signs for this process only.
func newSigner(keys []string, l *logrus.Logger) *tleventid.Signer {
	if len(keys) == 0 {
		l.Warn("Security.EventKeys is not set: streams can't be resumed at other instances")
		keys = []string{uuid.NewString()}
	}
	return tleventid.New(keys)
}
