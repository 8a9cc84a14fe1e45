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

// The kinds of messages between owners and homes.
const (
	kindPlace  = "Place"
	kindReport = "PlaceReport"
	kindHeld   = "HeldPlaces"
)

const (
	// holdAnswer is how long a home keeps a call open before it says that there is no decision yet.
	holdAnswer = 150 * time.Millisecond
	// answerWithin is the time beyond it after which a home counts as silent.
	answerWithin = 150 * time.Millisecond
	// abandonedAfter is how long a home waits for a request's owner to ask again.
	abandonedAfter = 600 * time.Millisecond
	// tickEvery is the time between looks at what waits; reports that free room decide at once.
	tickEvery = 15 * time.Millisecond
	// learnFor is how long a new home learns from the owners' reports before it
	// decides: they look for a new home every followEvery, and hear of it by gossip.
	learnFor = 300 * time.Millisecond
	// mostHomes bounds the homes that are asked for one request, one after the other.
	mostHomes = 3
	// logEvery is the time between lines on how full a home's book is.
	logEvery = 2 * time.Second
	// followEvery is the time between looks at who is home.
	followEvery = 100 * time.Millisecond
)

// Options is what a desk needs from its surroundings.
type Options struct {
	// Self is this instance.
	Self tlplace.Owner
	// DataCentre is where it stands.
	DataCentre string
	// Mesh reaches the other instances; its handlers are set here.
	Mesh *tlpeer.Mesh
	// Home returns the instance that is home of a service.
	Home func(service string) string
	// IsGone says whether an incarnation of an instance has ended.
	IsGone func(tlplace.Owner) bool
	// Post sends a one-way message to another instance without waiting.
	Post func(peer, kind string, send func(context.Context) error)
	// Now is the clock.
	Now func() time.Time
	// Random seeds the books.
	Random func() *rand.Rand
	// Log takes changes of belief.
	Log *logrus.Entry
	// Count raises a counter of CounterNames.
	Count func(reason string)
}

// The counters of a desk.
const (
	PlacedLocally = "PlacedHere"
	PlacedByHome  = "PlacedByHome"
	// HomeAbandoned counts the requests whose home was silent, or was home no more.
	HomeAbandoned = "HomeLeft"
	HomeChanged   = "HomeChanged"
)

// CounterNames lists the counters of a desk.
var CounterNames = []string{PlacedLocally, PlacedByHome, HomeAbandoned, HomeChanged}

// Coordinator gets places for the requests of an instance.
type Coordinator struct {
	o    Options
	done chan struct{}

	mu    sync.Mutex
	books map[string]*book
}

// New returns a desk and sets its handlers at the mesh, which has not been started.
func New(o Options) *Coordinator {
	d := &Coordinator{o: o, done: make(chan struct{}), books: map[string]*book{}}
	tlpeer.Handle(o.Mesh, kindPlace, d.answerPlace)
	tlpeer.Handle(o.Mesh, kindReport, d.takeReport)
	tlpeer.Handle(o.Mesh, kindHeld, d.takeHeld)
	return d
}

// SetEngines takes in the engines of a service.
func (d *Coordinator) SetEngines(s tlroute.Service, list []tlendpoint.Endpoint) {
	if s.Engine == nil {
		return
	}
	d.book(s.Name, s.Engine).setEngines(d.o.Now(), list)
}

// book returns the book of a service, which is made when its engines are first known.
func (d *Coordinator) book(service string, e *tlroute.Engine) *book {
	d.mu.Lock()
	defer d.mu.Unlock()
	k := d.books[service]
	if k == nil && e != nil {
		k = &book{
			b:       tlplace.New(tlplace.DefaultOptions(e.Memory, e.Slots), d.o.Random()),
			waiters: map[string]*waiter{},
		}
		d.books[service] = k
	}
	return k
}

func (d *Coordinator) services() map[string]*book {
	d.mu.Lock()
	defer d.mu.Unlock()
	return maps.Clone(d.books)
}

// Run decides what waits and follows the homes until ctx ends.
func (d *Coordinator) Run(ctx context.Context) {
	defer close(d.done)
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	var followed, logged time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		now := d.o.Now()
		all := d.services()
		for _, k := range all {
			if !k.isQuiet() {
				k.tick(now, abandonedAfter)
			}
		}
		if now.Sub(followed) >= followEvery {
			followed = now
			d.follow(now, all)
		}
		if now.Sub(logged) >= logEvery {
			logged = now
			d.logSums(now, all)
		}
	}
}

// Done is closed when the desk has ended.
func (d *Coordinator) Done() <-chan struct{} {
	return d.done
}

// follow tells new homes of this instance's places, and frees those of instances that are gone.
func (d *Coordinator) follow(now time.Time, all map[string]*book) {
	for service, k := range all {
		k.dropOwners(now, func(o tlplace.Owner) bool {
			return o != d.o.Self && d.o.IsGone(o)
		})
		home := d.o.Home(service)
		before, changed := k.moved(home)
		if changed {
			d.changeHome(now, service, k, before, home)
		}
	}
}

func (d *Coordinator) changeHome(now time.Time, service string, k *book, before, home string) {
	d.o.Count(HomeChanged)
	d.o.Log.WithFields(logrus.Fields{"Service": service, "Before": before, "Home": home}).Info("home changed")
	if home == d.o.Self.Name {
		k.learnUntil(now.Add(learnFor))
		return
	}
	k.dropOwners(now, func(o tlplace.Owner) bool { return o != d.o.Self })
	report := tlwire.HeldReport{Service: service, Held: []tlwire.HeldPlace{}}
	for _, p := range k.held(d.o.Self) {
		report.Held = append(report.Held, tlwire.HeldPlace{Request: p.Request, Decode: p.Decode, Tokens: p.Tokens})
	}
	d.o.Post(home, kindHeld, func(ctx context.Context) error {
		return tlpeer.Send(ctx, d.o.Mesh, home, kindHeld, report)
	})
}

// logSums tells how full the books are of which this instance is home.
func (d *Coordinator) logSums(now time.Time, all map[string]*book) {
	for service, k := range all {
		if d.o.Home(service) != d.o.Self.Name {
			continue
		}
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
