package tlguard

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"trefoillanding/core/tlendpoint"
	"trefoillanding/core/tlwire"
	"trefoillanding/io/tlpeer"
)

// The kinds of messages between instances and the homes of services.
const (
	kindCrash      = "Crash"
	kindAnswered   = "PartsAnswered"
	kindQuarantine = "Quarantine"
	kindTrial      = "Trial"
)

const (
	// checkInterval is the time between checks for quarantines that have expired and for changes of home.
	checkInterval = 200 * time.Millisecond
	// endTimeout bounds the check whether an endpoint has ended.
	endTimeout = 400 * time.Millisecond
)

// The counters of a Guard.
const (
	// Crashed counts the ends of endpoints under requests that this instance reported, and
	// LivedOn the breaks that were none, since the endpoint has not ended or has answered.
	Crashed = "Crashed"
	LivedOn = "LivedOn"
	// Quarantined counts the parts that this instance put in quarantine, and
	// QuarantineLifted those that it took out of it early.
	Quarantined      = "Quarantined"
	QuarantineLifted = "QuarantineLifted"
	// Tried counts the requests of this instance that were sent though a part of them is
	// in quarantine, to see whether it was blamed wrongly.
	Tried = "Tried"
)

// CounterNames lists the counters of a Guard.
var CounterNames = []string{Crashed, LivedOn, Quarantined, QuarantineLifted, Tried}

// Options holds what a Guard depends on.
type Options struct {
	// Self is the name of this instance.
	Self string
	// Mesh reaches the other instances; New registers handlers with it.
	Mesh *tlpeer.Mesh
	// Home returns the instance that decides for a service.
	Home func(service string) string
	// Others returns the names of the other live instances.
	Others func() []string
	// Post sends a one-way message to another instance without waiting.
	Post func(peer, kind string, send func(context.Context) error)
	// HasEnded reports whether the process of an endpoint has ended, other than on purpose.
	HasEnded func(context.Context, tlendpoint.Endpoint) bool
	// Now returns the current time.
	Now func() time.Time
	// OnQuarantine is called when this instance has put a part in quarantine, and OnLifted
	// when it has ended one early; they must not wait.
	OnQuarantine func(tlwire.Quarantine)
	OnLifted     func(service, part string)
	// Log receives the quarantines that begin and end.
	Log *logrus.Entry
	// Count adds one to a counter of CounterNames.
	Count func(reason string)
}

// Guard knows which requests must be kept from the endpoints of each service, and
// decides it for the services whose home this instance is.
type Guard struct {
	o    Options
	done chan struct{}
	ctx  context.Context
	stop context.CancelFunc

	mu        sync.Mutex
	byService map[string]*service
	// checks holds the crashes at endpoints that are being checked; checking counts them.
	// None begins after Run has ended.
	checks    map[endpointKey][]ownCrash
	checking  sync.WaitGroup
	isStopped bool
}

// endpointKey names an incarnation of an endpoint.
type endpointKey struct {
	id          string
	incarnation int64
}

// New returns a Guard and registers its handlers with the mesh, which must not have been started.
func New(o Options) *Guard {
	g := &Guard{o: o, done: make(chan struct{}), byService: map[string]*service{}, checks: map[endpointKey][]ownCrash{}}
	g.ctx, g.stop = context.WithCancel(context.Background())
	tlpeer.Handle(o.Mesh, kindCrash, g.handleCrash)
	tlpeer.Handle(o.Mesh, kindAnswered, g.handleAnswered)
	tlpeer.Handle(o.Mesh, kindQuarantine, g.handleQuarantine)
	tlpeer.Handle(o.Mesh, kindTrial, g.handleTrial)
	return g
}

// Run notes quarantines that expire and tells new homes of crashes until ctx ends.
func (g *Guard) Run(ctx context.Context) {
	defer close(g.done)
	defer g.end()
	t := time.NewTicker(checkInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			g.check()
		}
	}
}

// end ends the checks of endpoints.
func (g *Guard) end() {
	g.mu.Lock()
	g.isStopped = true
	g.mu.Unlock()
	g.stop()
	g.checking.Wait()
}

// Done returns a channel that is closed when Run has ended.
func (g *Guard) Done() <-chan struct{} {
	return g.done
}

// serviceOf returns what is known of a service, creating it if necessary; g.mu must be held.
func (g *Guard) serviceOf(name string) *service {
	s := g.byService[name]
	if s == nil {
		s = newService()
		g.byService[name] = s
	}
	return s
}

// Held returns how long requests with a part are kept from the endpoints of a service;
// false if they are not.
func (g *Guard) Held(name string, parts []string) (left time.Duration, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.byService[name]
	if s == nil {
		return 0, false
	}
	_, left, ok = s.table.Held(g.o.Now(), parts)
	return left, ok
}

// Watch returns a context that also ends when a part of a request is put in quarantine;
// stop must be called.
func (g *Guard) Watch(ctx context.Context, name string, parts []string) (watched context.Context, stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	w := &watch{parts, cancel}
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.serviceOf(name)
	s.watches[w] = struct{}{}
	return ctx, func() {
		cancel()
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(s.watches, w)
	}
}

// Broke records that the connection to an endpoint broke before a request with the
// parts was answered. It is checked whether the endpoint has ended.
func (g *Guard) Broke(e tlendpoint.Endpoint, parts []string) {
	k := ownCrash{at: g.o.Now(), endpoint: e, parts: parts}
	key := endpointKey{e.ID, e.Incarnation}
	g.mu.Lock()
	defer g.mu.Unlock()
	_, isChecked := g.checks[key]
	if g.isStopped || isChecked && len(g.checks[key]) == maxOwn {
		return
	}
	g.checks[key] = append(g.checks[key], k)
	if !isChecked {
		g.checking.Go(func() { g.checkEndpoint(key, e) })
	}
}

// checkEndpoint records the breaks at an endpoint as crashes if it has ended.
func (g *Guard) checkEndpoint(key endpointKey, e tlendpoint.Endpoint) {
	ctx, stop := context.WithTimeout(g.ctx, endTimeout)
	defer stop()
	hasEnded := g.o.HasEnded(ctx, e)
	home := g.o.Home(e.Service)
	g.mu.Lock()
	list := g.checks[key]
	delete(g.checks, key)
	if hasEnded && !g.isStopped {
		g.serviceOf(e.Service).addOwn(home, list)
	}
	g.mu.Unlock()
	for _, k := range list {
		if !hasEnded {
			g.o.Count(LivedOn)
			continue
		}
		g.o.Count(Crashed)
		g.report(k)
	}
}

// report tells the home of a crash that this instance has seen.
func (g *Guard) report(k ownCrash) {
	g.tellHome(tlwire.CrashReport{
		Service:     k.endpoint.Service,
		Endpoint:    k.endpoint.ID,
		Incarnation: k.endpoint.Incarnation,
		Parts:       k.parts,
		Age:         g.o.Now().Sub(k.at),
	})
}

func (g *Guard) tellHome(r tlwire.CrashReport) {
	home := g.o.Home(r.Service)
	if home == g.o.Self {
		g.noteCrash(r)
		return
	}
	g.o.Post(home, kindCrash, func(ctx context.Context) error {
		return tlpeer.Send(ctx, g.o.Mesh, home, kindCrash, r)
	})
}

// Answered records that a request with the parts has been answered completely.
func (g *Guard) Answered(name string, parts []string) {
	g.mu.Lock()
	lifted := g.serviceOf(name).table.Answered(g.o.Now(), parts)
	g.mu.Unlock()
	switch {
	case len(lifted) == 0:
	case g.o.Home(name) == g.o.Self:
		g.lifted(name, lifted)
	default:
		g.reportAnswered(name, parts)
	}
}

// reportAnswered tells the home of answers on parts of which some are in quarantine.
func (g *Guard) reportAnswered(name string, parts []string) {
	home := g.o.Home(name)
	g.o.Post(home, kindAnswered, func(ctx context.Context) error {
		return tlpeer.Send(ctx, g.o.Mesh, home, kindAnswered, tlwire.PartsAnswered{Service: name, Parts: parts})
	})
}

// Alive records that an endpoint has answered a request that was sent at a time, so that
// it has not ended before.
func (g *Guard) Alive(e tlendpoint.Endpoint, sent time.Time) {
	g.mu.Lock()
	s := g.byService[e.Service]
	wasCrash := s != nil && s.dropOwn(e, sent)
	g.mu.Unlock()
	if !wasCrash {
		return
	}
	g.o.Count(LivedOn)
	g.tellHome(tlwire.CrashReport{
		Service:     e.Service,
		Endpoint:    e.ID,
		Incarnation: e.Incarnation,
		Parts:       []string{},
		IsAlive:     true,
		Age:         g.o.Now().Sub(sent),
	})
}

// SetQuarantine puts a part in quarantine by the store's record.
func (g *Guard) SetQuarantine(q tlwire.Quarantine) {
	if g.hold(q, 0) {
		g.logPart(q.Service, q.Part).WithField("Until", q.Until).Info("part quarantined, by the store's record")
	}
}

// LiftQuarantine ends the quarantine of a part whose record the store has no more.
func (g *Guard) LiftQuarantine(name, part string) {
	if g.release(name, part) {
		g.logPart(name, part).Info("quarantine lifted, by the store's record")
	}
}

// hold puts a part in quarantine by another instance's word; it reports whether that is
// news. This instance objects if it has lately completed an answer on the part.
func (g *Guard) hold(q tlwire.Quarantine, trials int) bool {
	now := g.o.Now()
	g.mu.Lock()
	s := g.serviceOf(q.Service)
	isCleared := s.table.IsCleared(now, q.Part)
	isNews := false
	if !isCleared {
		isNews = s.hold(now, q.Until, q.Part)
		s.table.SetBeside(q.Part, q.Beside)
		s.table.Tried(now, q.Part, trials)
	}
	g.mu.Unlock()
	if isCleared && q.Until.After(now) {
		g.reportAnswered(q.Service, []string{q.Part})
	}
	return isNews
}

func (g *Guard) release(name, part string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.serviceOf(name).table.Lift(g.o.Now(), part)
}

// check notes quarantines that have expired, and tells new homes of the crashes that
// this instance has seen.
func (g *Guard) check() {
	now := g.o.Now()
	g.mu.Lock()
	expired := map[string][]string{}
	homes := map[string]string{}
	for name, s := range g.byService {
		expired[name] = s.table.Expired(now)
		s.prune(now)
		if len(s.own) > 0 {
			homes[name] = s.home
		}
	}
	g.mu.Unlock()
	for name, parts := range expired {
		for _, part := range parts {
			g.logPart(name, part).Info("quarantine expired")
		}
	}
	for name, before := range homes {
		if home := g.o.Home(name); home != before {
			g.reportAgain(name, home)
		}
	}
}

// reportAgain tells a new home of the crashes that this instance has seen.
func (g *Guard) reportAgain(name, home string) {
	g.mu.Lock()
	s := g.serviceOf(name)
	s.home = home
	own := append([]ownCrash(nil), s.own...)
	g.mu.Unlock()
	for _, k := range own {
		g.report(k)
	}
}

func (g *Guard) logPart(name, part string) *logrus.Entry {
	return g.o.Log.WithFields(logrus.Fields{"Service": name, "Part": part})
}
