package tlbooking

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"trefoillanding/core/tlendpoint"
	"trefoillanding/core/tlplace"
	"trefoillanding/core/tlroute"
	"trefoillanding/core/tlwire"
	"trefoillanding/io/tlpeer"
)

// The kinds of messages between the owners of requests and the homes of services.
const (
	kindPlace  = "Place"
	kindReport = "PlaceReport"
	kindHeld   = "HeldPlaces"
)

const (
	// longPollTimeout is how long a home keeps a call open before it answers that there is no decision yet.
	longPollTimeout = 150 * time.Millisecond
	// longPollMargin is added to longPollTimeout; a home that takes longer counts as not answering.
	longPollMargin = 150 * time.Millisecond
	// abandonedAfter is how long a home keeps a waiting request whose owner does not ask again.
	abandonedAfter = 600 * time.Millisecond
	// tickEvery is the time between checks of waiting requests; a report that frees room triggers decisions at once.
	tickEvery = 15 * time.Millisecond
	// learnPeriod is how long a new home collects the owners' reports before it
	// decides: owners check for a new home every homeCheckInterval, and learn of it by gossip.
	learnPeriod = 300 * time.Millisecond
	// logEvery is the time between log lines on the reservations of a service at its home.
	logEvery = 2 * time.Second
	// homeCheckInterval is the time between checks of which instance is the home of each service.
	homeCheckInterval = 100 * time.Millisecond
)

// MaxHomes is the most homes that are asked, one after the other, for one request: the
// home, and the one that stands in for it.
const MaxHomes = 2

// Options holds what a Coordinator depends on.
type Options struct {
	// Self is this instance.
	Self tlplace.Owner
	// DataCentre is the data centre of this instance.
	DataCentre string
	// Mesh reaches the other instances; New registers handlers with it.
	Mesh *tlpeer.Mesh
	// Homes returns the names of the instance that is the home of a service, and of those
	// that stand in for it, in order; none if no instance is live.
	Homes func(service string) []string
	// IsGone reports whether an incarnation of an instance has ended.
	IsGone func(tlplace.Owner) bool
	// Post sends a one-way message to another instance without waiting.
	Post func(peer, kind string, send func(context.Context) error)
	// Now returns the current time.
	Now func() time.Time
	// Random returns the source of random numbers for one service's reservations.
	Random func() *rand.Rand
	// Log receives changes of home and the state of the reservations.
	Log *logrus.Entry
	// Count adds one to a counter of CounterNames.
	Count func(reason string)
}

// The counters of a Coordinator.
const (
	PlacedLocally = "PlacedHere"
	PlacedByHome  = "PlacedByHome"
	// HomeAbandoned counts the times that a request stopped asking a home that did not answer or was no longer the home.
	HomeAbandoned = "HomeLeft"
	HomeChanged   = "HomeChanged"
	// PaceChanged counts the engines whose measured speed changed much.
	PaceChanged = "PaceChanged"
	// StoodIn counts the times that this instance began to decide for others whose home did not answer.
	StoodIn = "StoodIn"
)

// CounterNames lists the counters of a Coordinator.
var CounterNames = []string{PlacedLocally, PlacedByHome, HomeAbandoned, HomeChanged, PaceChanged, StoodIn}

// Coordinator reserves places at engines for the requests of an instance.
type Coordinator struct {
	o    Options
	done chan struct{}

	mu        sync.Mutex
	byService map[string]*reservations
	// doubted holds until when instances are not asked, since they did not answer.
	doubted map[string]time.Time
}

// New returns a Coordinator and registers its handlers with the mesh, which must not have been started.
func New(o Options) *Coordinator {
	d := &Coordinator{
		o:         o,
		done:      make(chan struct{}),
		byService: map[string]*reservations{},
		doubted:   map[string]time.Time{},
	}
	tlpeer.Handle(o.Mesh, kindPlace, d.handlePlace)
	tlpeer.Handle(o.Mesh, kindReport, d.handleReport)
	tlpeer.Handle(o.Mesh, kindHeld, d.handleHeld)
	return d
}

// SetEngines sets the listed engines of a service.
func (d *Coordinator) SetEngines(s tlroute.Service, list []tlendpoint.Endpoint) {
	if s.Engine == nil {
		return
	}
	d.reservationsOf(s.Name, s.Engine).setEngines(d.o.Now(), list)
}

// reservationsOf returns the reservations of a service, creating them if e is given; nil if there are none.
func (d *Coordinator) reservationsOf(service string, e *tlroute.Engine) *reservations {
	d.mu.Lock()
	defer d.mu.Unlock()
	k := d.byService[service]
	if k == nil && e != nil {
		o := tlplace.DefaultOptions(e.Memory, e.Slots, e.Stride)
		o.RoleChangeTime = e.RoleChangeTime
		k = &reservations{
			b:       tlplace.New(o, d.o.Random()),
			waiters: map[string]*waiter{},
		}
		d.byService[service] = k
	}
	return k
}

func (d *Coordinator) services() map[string]*reservations {
	d.mu.Lock()
	defer d.mu.Unlock()
	return maps.Clone(d.byService)
}

// Run decides on waiting requests and checks for changes of home until ctx ends.
func (d *Coordinator) Run(ctx context.Context) {
	defer close(d.done)
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	var checked, logged time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		now := d.o.Now()
		all := d.services()
		for _, k := range all {
			if !k.isIdle() {
				k.tick(now, abandonedAfter)
			}
		}
		if now.Sub(checked) >= homeCheckInterval {
			checked = now
			d.checkHomes(now, all)
		}
		if now.Sub(logged) >= logEvery {
			logged = now
			d.logSums(now, all)
		}
	}
}

// Done returns a channel that is closed when Run has ended.
func (d *Coordinator) Done() <-chan struct{} {
	return d.done
}

// checkHomes reports this instance's reservations to new homes, and frees those of instances that have ended.
func (d *Coordinator) checkHomes(now time.Time, all map[string]*reservations) {
	for service, k := range all {
		k.dropOwners(now, func(o tlplace.Owner) bool {
			return o != d.o.Self && d.o.IsGone(o)
		})
		home := d.home(service)
		before, changed := k.setHome(home)
		if changed {
			d.onHomeChange(now, service, k, before, home)
		}
		if home != d.o.Self.Name && k.endStandIn(now) {
			k.dropOwners(now, d.isOther)
		}
	}
}

func (d *Coordinator) isOther(o tlplace.Owner) bool {
	return o != d.o.Self
}

func (d *Coordinator) onHomeChange(now time.Time, service string, k *reservations, before, home string) {
	d.o.Count(HomeChanged)
	d.o.Log.WithFields(logrus.Fields{"Service": service, "Before": before, "Home": home}).Info("home changed")
	if home == d.o.Self.Name {
		if !k.hasStoodIn(now, learnPeriod) {
			k.deferDecisionsUntil(now.Add(learnPeriod))
		}
		return
	}
	if !k.hasStoodIn(now, 0) {
		k.dropOwners(now, d.isOther)
	}
	report := tlwire.HeldReport{Service: service, Held: []tlwire.HeldPlace{}}
	report.Rates = encodeRates(k.rates())
	report.Paces = encodePaces(now, k.paces())
	for _, p := range k.held(d.o.Self) {
		report.Held = append(report.Held, tlwire.HeldPlace{Request: p.Request, Decode: p.Decode, Tokens: p.Tokens})
	}
	d.o.Post(home, kindHeld, func(ctx context.Context) error {
		return tlpeer.Send(ctx, d.o.Mesh, home, kindHeld, report)
	})
}

// logSums logs the reservations of the services whose home is this instance.
func (d *Coordinator) logSums(now time.Time, all map[string]*reservations) {
	for service, k := range all {
		if !d.isHome(service) && !k.hasStoodIn(now, 0) {
			continue
		}
		d.logPaceChanges(now, service, k)
		s := k.sums(now)
		if s.Running == 0 && s.Waiting == 0 {
			continue
		}
		d.o.Log.WithFields(logrus.Fields{
			"Service":  service,
			"Readers":  s.Readers,
			"Decoders": s.Decoders,
			"Reading":  s.Reading,
			"Running":  s.Running,
			"Booked":   s.Booked,
			"Foreign":  s.Foreign,
			"Memory":   s.Memory,
			"Waiting":  s.Waiting,
			"Risky":    s.Risky,
			"Stalling": s.IsStalling,
		}).Info("book")
	}
}
