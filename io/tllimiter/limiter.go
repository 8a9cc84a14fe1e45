package tllimiter

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"trefoillanding/core/tlcall"
	"trefoillanding/core/tlendpoint"
	"trefoillanding/core/tllimit"
	"trefoillanding/core/tlwire"
	"trefoillanding/io/tldirectory"
	"trefoillanding/io/tlpeer"
)

// The kinds of messages between an instance and the home of an endpoint.
const (
	// kindPermit asks the home for a permit.
	kindPermit = "Permit"
	// kindLimitHeard tells the home what an endpoint has said, kindLimit tells all what the home knows.
	kindLimitHeard = "LimitHeard"
	kindLimit      = "Limit"
)

const (
	// homeTimeout bounds a question to the home: the request waits for it.
	homeTimeout = 150 * time.Millisecond
	// homePause is how long an endpoint is closed after its home gave no answer: about as
	// long as gossip takes to name another home.
	homePause = 500 * time.Millisecond
	// fleetCheckInterval is the time between looks at how many instances there are.
	fleetCheckInterval = 100 * time.Millisecond
)

// The counters of a Limiter.
const (
	// Heard counts the answers that name a limit, Unreadable those whose limit can't be read.
	Heard      = "Heard"
	Unreadable = "Unreadable"
	// Granted counts the permits that this instance got, Denied its requests that found
	// none, and HomeSilent those whose home gave no answer.
	Granted    = "Granted"
	Denied     = "Denied"
	HomeSilent = "HomeSilent"
	// FollowUpDenied counts the requests that a stream in progress needed and that found no permit.
	FollowUpDenied = "FollowUpDenied"
	// GivenOut counts the permits that this instance gave out as a home.
	GivenOut = "GivenOut"
)

// CounterNames lists the counters of a Limiter.
var CounterNames = []string{Heard, Unreadable, Granted, Denied, FollowUpDenied, HomeSilent, GivenOut}

var (
	errNotHome  = errors.New("this instance is not the home of the endpoint")
	errClosed   = errors.New("the endpoint wants no requests now")
	errNoPermit = errors.New("the endpoint's limit is used up")
)

// Options holds what a Limiter depends on.
type Options struct {
	// Self is the name of this instance.
	Self string
	// Mesh reaches the other instances; New registers handlers with it.
	Mesh *tlpeer.Mesh
	// Directory holds the limits that are known, and which endpoints are closed.
	Directory *tldirectory.Directory
	// Home returns the instance that gives the permits for an endpoint.
	Home func(endpoint string) string
	// Others returns the names of the other live instances.
	Others func() []string
	// Fleet returns how many instances are in touch with this one, itself included, and how many are listed.
	Fleet func() (inTouch, listed int)
	// Post sends a one-way message to another instance without waiting.
	Post func(peer, kind string, send func(context.Context) error)
	// Now returns the current time.
	Now func() time.Time
	// Log receives the limits that begin and end.
	Log *logrus.Entry
	// Count adds one to a counter of CounterNames.
	Count func(reason string)
}

// Limiter takes permits for requests to endpoints that name a limit, and gives them out
// for those whose home this instance is.
type Limiter struct {
	o Options

	mu           sync.Mutex
	divider      *tllimit.Divider
	fleetChecked time.Time
}

// New returns a Limiter and registers its handlers with the mesh, which must not have been started.
func New(o Options) *Limiter {
	l := &Limiter{o: o, divider: tllimit.New()}
	tlpeer.Handle(o.Mesh, kindPermit, l.handlePermit)
	tlpeer.Handle(o.Mesh, kindLimitHeard, l.handleHeard)
	tlpeer.Handle(o.Mesh, kindLimit, l.handleLimit)
	return l
}

// Admit takes a permit for one request to an endpoint, if it names a limit; the error
// says why nothing may be sent to it now.
func (l *Limiter) Admit(ctx context.Context, e tlendpoint.Endpoint) error {
	if l.o.Directory.IsClosed(l.o.Now(), e) {
		return errClosed
	}
	return l.takePermit(ctx, e, false)
}

// AdmitFollowUp does the same for a request that is needed to go on with one that has been
// sent; it may use a permit ahead of its time.
func (l *Limiter) AdmitFollowUp(ctx context.Context, e tlendpoint.Endpoint) error {
	return l.takePermit(ctx, e, true)
}

func (l *Limiter) takePermit(ctx context.Context, e tlendpoint.Endpoint, isFollowUp bool) error {
	now := l.o.Now()
	rate, named, ok := l.o.Directory.Limit(e)
	if !ok {
		return nil
	}
	a, err := l.ask(ctx, tlwire.PermitCall{
		Service:     e.Service,
		Endpoint:    e.ID,
		Incarnation: e.Incarnation,
		Rate:        rate,
		Age:         now.Sub(named),
		IsFollowUp:  isFollowUp,
	})
	switch {
	case ctx.Err() != nil:
		return ctx.Err()
	case err != nil:
		l.o.Count(HomeSilent)
		l.o.Directory.HoldOff(l.o.Now(), e, homePause)
		return errNoPermit
	case a.IsLifted:
		l.markUnlimited(e)
		return nil
	case !a.IsGranted:
		if isFollowUp {
			l.o.Count(FollowUpDenied)
		} else {
			l.o.Count(Denied)
		}
		l.o.Directory.HoldOff(l.o.Now(), e, a.Wait)
		return errNoPermit
	}
	l.o.Count(Granted)
	return nil
}

// ask asks the home of an endpoint, which may be this instance.
func (l *Limiter) ask(ctx context.Context, c tlwire.PermitCall) (tlwire.PermitAnswer, error) {
	home := l.o.Home(c.Endpoint)
	if home == l.o.Self {
		return l.give(c), nil
	}
	ctx, stop := context.WithTimeout(ctx, homeTimeout)
	defer stop()
	return tlpeer.Call[tlwire.PermitCall, tlwire.PermitAnswer](ctx, l.o.Mesh, home, kindPermit, c)
}

func (l *Limiter) handlePermit(_ context.Context, _ tlpeer.Peer, c tlwire.PermitCall) (tlwire.PermitAnswer, error) {
	if l.o.Home(c.Endpoint) != l.o.Self {
		return tlwire.PermitAnswer{}, errNotHome
	}
	return l.give(c), nil
}

// give answers a question as the home.
func (l *Limiter) give(c tlwire.PermitCall) tlwire.PermitAnswer {
	now := l.o.Now()
	l.mu.Lock()
	l.checkFleet(now)
	p := l.divider.Take(now, tllimit.Ask{
		Endpoint: limited(c.Service, c.Endpoint, c.Incarnation),
		Rate:     c.Rate,
		Named:    now.Add(-c.Age),

		IsFollowUp: c.IsFollowUp,
	})
	l.mu.Unlock()
	if p.IsGranted && !p.IsLifted {
		l.o.Count(GivenOut)
	}
	return tlwire.PermitAnswer{IsGranted: p.IsGranted, IsLifted: p.IsLifted, Wait: p.Wait}
}

// limited returns an endpoint as the divider knows it; its address is not told.
func limited(service, id string, incarnation int64) tlendpoint.Endpoint {
	return tlendpoint.Endpoint{ID: id, Service: service, Incarnation: incarnation}
}

// checkFleet tells the divider how many instances there are; l.mu must be held.
func (l *Limiter) checkFleet(now time.Time) {
	if now.Sub(l.fleetChecked) < fleetCheckInterval {
		return
	}
	l.fleetChecked = now
	inTouch, listed := l.o.Fleet()
	l.divider.SetFleet(now, inTouch, listed)
}

// Observe takes in what an answer to a request sent at a time says of its endpoint's limit.
func (l *Limiter) Observe(e tlendpoint.Endpoint, a tlcall.Limit, sent time.Time) {
	now := l.o.Now()
	switch {
	case a.IsUnreadable:
		l.o.Count(Unreadable)
	case a.IsNamed:
		l.o.Count(Heard)
		if l.markLimited(now, now, e, a.Rate) {
			l.tellHome(e, tlwire.LimitReport{Rate: a.Rate})
		}
	default:
		// The limit ends once the home says so: others may have heard it named since.
		if _, _, ok := l.o.Directory.Limit(e); ok {
			l.tellHome(e, tlwire.LimitReport{IsLifted: true, Age: now.Sub(sent)})
		}
	}
}

// tellHome tells an endpoint's home what the endpoint has said.
func (l *Limiter) tellHome(e tlendpoint.Endpoint, r tlwire.LimitReport) {
	r.Service, r.Endpoint, r.Incarnation = e.Service, e.ID, e.Incarnation
	home := l.o.Home(e.ID)
	if home == l.o.Self {
		l.noteHeard(home, r)
		return
	}
	l.post(home, kindLimitHeard, r)
}

func (l *Limiter) post(peer, kind string, r tlwire.LimitReport) {
	l.o.Post(peer, kind, func(ctx context.Context) error {
		return tlpeer.Send(ctx, l.o.Mesh, peer, kind, r)
	})
}

func (l *Limiter) handleHeard(_ context.Context, from tlpeer.Peer, r tlwire.LimitReport) (tlpeer.Empty, error) {
	l.noteHeard(from.Name, r)
	return tlpeer.Empty{}, nil
}

// noteHeard takes in what an instance has heard, and tells all others if it is news.
func (l *Limiter) noteHeard(from string, r tlwire.LimitReport) {
	now := l.o.Now()
	e, at := limited(r.Service, r.Endpoint, r.Incarnation), now.Add(-r.Age)
	l.mu.Lock()
	isNews := false
	if r.IsLifted {
		isNews = l.divider.Lift(at, e)
	} else {
		isNews = l.divider.Name(now, at, e, r.Rate)
	}
	l.mu.Unlock()
	if !isNews {
		return
	}
	l.apply(now, r)
	for _, name := range l.o.Others() {
		// Whoever heard of the end of a limit goes by the home's word on it.
		if r.IsLifted || name != from {
			l.post(name, kindLimit, r)
		}
	}
}

func (l *Limiter) handleLimit(_ context.Context, _ tlpeer.Peer, r tlwire.LimitReport) (tlpeer.Empty, error) {
	l.apply(l.o.Now(), r)
	return tlpeer.Empty{}, nil
}

// apply puts in force what the home says of an endpoint; one that is not listed here is
// heard of with its first answer.
func (l *Limiter) apply(now time.Time, r tlwire.LimitReport) {
	e, _ := l.o.Directory.Find(r.Endpoint)
	if e.Incarnation != r.Incarnation || e.Service != r.Service {
		return
	}
	at := now.Add(-r.Age)
	if !r.IsLifted {
		l.markLimited(now, at, e, r.Rate)
		return
	}
	if _, named, ok := l.o.Directory.Limit(e); ok && at.After(named) {
		l.markUnlimited(e)
	}
}

// markLimited records a limit; it reports whether it is news that there is one.
func (l *Limiter) markLimited(now, named time.Time, e tlendpoint.Endpoint, rate float64) bool {
	if !l.o.Directory.MarkLimit(now, named, e, rate) {
		return false
	}
	l.logLimit(e).WithField("Rate", rate).Info("endpoint names a limit")
	return true
}

func (l *Limiter) markUnlimited(e tlendpoint.Endpoint) {
	if l.o.Directory.MarkUnlimited(e) {
		l.logLimit(e).Info("endpoint names no limit any more")
	}
}

func (l *Limiter) logLimit(e tlendpoint.Endpoint) *logrus.Entry {
	return l.o.Log.WithFields(logrus.Fields{"Endpoint": e.ID, "Service": e.Service, "Incarnation": e.Incarnation})
}
