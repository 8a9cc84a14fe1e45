package tlprober

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"trefoillanding/core/tlendpoint"
	"trefoillanding/core/tlreach"
)

const (
	// dialTimeout bounds the opening of a connection; a sound endpoint takes a few milliseconds.
	dialTimeout = 400 * time.Millisecond
	// moreAfter is the time in a round after which more endpoints are dialled, if the first give no word.
	moreAfter = 100 * time.Millisecond
	// retryInterval is the time between rounds while the instance is cut off.
	retryInterval = 200 * time.Millisecond
	// quietCheckInterval is the time between checks whether nothing is heard.
	quietCheckInterval = 100 * time.Millisecond
	// quietAfter is how long answers may be awaited while nothing at all is heard before
	// the instance looks whether it is cut off.
	quietAfter = 500 * time.Millisecond
	// quietInterval is the least time between two such looks.
	quietInterval = time.Second
)

// The counters of a Prober.
const (
	// Rounds counts the rounds of dials, CutOff the times that this instance was cut off.
	Rounds = "Rounds"
	CutOff = "CutOff"
)

// CounterNames lists the counters of a Prober.
var CounterNames = []string{Rounds, CutOff}

// Options holds what a Prober depends on.
type Options struct {
	// Services returns the names of the services that have endpoints, and Endpoints those of
	// a service that do not leave.
	Services  func() []string
	Endpoints func(service string) []tlendpoint.Endpoint
	// IsDoubted reports whether the last sends to an endpoint failed; it is dialled after others.
	IsDoubted func(id string) bool
	// Dial opens a connection to an endpoint and closes it.
	Dial func(context.Context, tlendpoint.Endpoint) error
	// QuietFor returns how long nothing has been heard while answers are awaited; 0 if none are.
	QuietFor func() time.Duration
	// OnChange is called when the instance is cut off from a service, or reaches it again.
	OnChange func(service string, isCut bool)
	// Now returns the current time.
	Now func() time.Time
	// Random returns a source of random numbers.
	Random *rand.Rand
	// Log receives the cuts that begin and end.
	Log *logrus.Entry
	// Count adds one to a counter of CounterNames.
	Count func(reason string)
}

// Prober knows whether this instance reaches the endpoints of each service.
type Prober struct {
	o    Options
	done chan struct{}
	ctx  context.Context
	stop context.CancelFunc
	// dialling counts the rounds under way; none begins after stop was called.
	dialling sync.WaitGroup

	mu        sync.Mutex
	byService map[string]*way
}

// way is what is known of the way to a service.
type way struct {
	state tlreach.State
	// ended is closed when the round under way has ended; nil if there is none.
	ended chan struct{}
	// cut is closed while the instance is cut off.
	cut chan struct{}
}

// New returns a Prober that has tried nothing yet.
func New(o Options) *Prober {
	p := &Prober{o: o, done: make(chan struct{}), byService: map[string]*way{}}
	p.ctx, p.stop = context.WithCancel(context.Background())
	return p
}

// wayTo returns what is known of the way to a service; p.mu must be held.
func (p *Prober) wayTo(service string) *way {
	w := p.byService[service]
	if w == nil {
		w = &way{cut: make(chan struct{})}
		p.byService[service] = w
	}
	return w
}

// Run looks for cuts that nothing else shows, and for their ends, until ctx ends.
func (p *Prober) Run(ctx context.Context) {
	defer close(p.done)
	t := time.NewTicker(quietCheckInterval)
	defer t.Stop()
	var looked, retried time.Time
	for {
		select {
		case <-ctx.Done():
			p.end()
			return
		case <-t.C:
		}
		now := p.o.Now()
		if p.o.QuietFor() >= quietAfter && now.Sub(looked) >= quietInterval {
			looked = now
			p.roundOf(ctx, p.o.Services())
		}
		if now.Sub(retried) >= retryInterval {
			retried = now
			p.roundOf(ctx, p.cutServices())
		}
	}
}

// roundOf dials endpoints of each of some services.
func (p *Prober) roundOf(ctx context.Context, services []string) {
	var dialling sync.WaitGroup
	for _, service := range services {
		dialling.Go(func() { p.round(ctx, service) })
	}
	dialling.Wait()
}

// cutServices returns the services from which this instance is cut off.
func (p *Prober) cutServices() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []string
	for service, w := range p.byService {
		if w.state.IsCut() {
			list = append(list, service)
		}
	}
	return list
}

// Done returns a channel that is closed when Run has ended.
func (p *Prober) Done() <-chan struct{} {
	return p.done
}

// IsCut reports whether this instance is known to be cut off from all endpoints of a service.
func (p *Prober) IsCut(service string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.wayTo(service).state.IsCut()
}

// WasCutSince reports whether this instance is cut off from a service, or was at a time or later.
func (p *Prober) WasCutSince(service string, t time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := p.wayTo(service)
	return w.state.IsCut() || w.state.ChangedAt().After(t)
}

// Cut returns a channel that is closed while this instance is cut off from a service.
func (p *Prober) Cut(service string) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.wayTo(service).cut
}

// Check finds out, after a failure, whether this instance is cut off from all endpoints of a service.
func (p *Prober) Check(ctx context.Context, service string) bool {
	if !p.IsCut(service) {
		p.round(ctx, service)
	}
	return p.IsCut(service)
}

// CheckAll finds out whether this instance is cut off from all services.
func (p *Prober) CheckAll(ctx context.Context) bool {
	services := p.o.Services()
	p.roundOf(ctx, services)
	return !slices.ContainsFunc(services, func(s string) bool { return !p.IsCut(s) })
}

// round dials endpoints of a service, unless another round is under way, and waits for its end.
func (p *Prober) round(ctx context.Context, service string) {
	p.mu.Lock()
	w := p.wayTo(service)
	ended := w.ended
	if ended == nil && p.ctx.Err() == nil {
		ended = make(chan struct{})
		w.ended = ended
		// The round is for all who wait, not only for the one who began it.
		p.dialling.Go(func() { p.dialAll(service, w) })
	}
	p.mu.Unlock()
	if ended == nil {
		return
	}
	select {
	case <-ended:
	case <-ctx.Done():
	}
}

// end ends the rounds under way; none begins afterwards.
func (p *Prober) end() {
	p.mu.Lock()
	p.stop()
	p.mu.Unlock()
	p.dialling.Wait()
}

// dialAll dials some endpoints of a service, and more if the first give no word.
func (p *Prober) dialAll(service string, w *way) {
	p.o.Count(Rounds)
	began := p.o.Now()
	ctx, stop := context.WithTimeout(p.ctx, moreAfter+dialTimeout)
	list := p.targets(service)
	results := make(chan error, len(list))
	var dialling sync.WaitGroup
	dialled := 0
	dial := func(n int) {
		for ; dialled < n; dialled++ {
			e := list[dialled]
			dialling.Go(func() { results <- p.o.Dial(ctx, e) })
		}
	}
	dial(min(tlreach.FirstRound, len(list)))
	more := time.NewTimer(moreAfter)
	defer more.Stop()
	reached := false
	for answered := 0; answered < dialled && !reached; {
		select {
		case err := <-results:
			answered++
			reached = err == nil
			if answered == dialled {
				dial(len(list))
			}
		case <-more.C:
			dial(len(list))
		}
	}
	if p.ctx.Err() == nil {
		p.settle(service, w, began, dialled, reached)
	}
	stop()
	dialling.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	close(w.ended)
	w.ended = nil
}

// targets returns the endpoints of a service to dial, in random order, those last that are doubted: where
// most endpoints are down, the others tell that the instance is not cut off.
func (p *Prober) targets(service string) []tlendpoint.Endpoint {
	list := slices.Clone(p.o.Endpoints(service))
	p.mu.Lock()
	p.o.Random.Shuffle(len(list), func(a, b int) { list[a], list[b] = list[b], list[a] })
	p.mu.Unlock()
	var last []tlendpoint.Endpoint
	list = slices.DeleteFunc(list, func(e tlendpoint.Endpoint) bool {
		isDoubted := p.o.IsDoubted(e.ID)
		if isDoubted {
			last = append(last, e)
		}
		return isDoubted
	})
	list = append(list, last...)
	return list[:min(len(list), tlreach.MaxRound)]
}

// settle takes in what a round has shown.
func (p *Prober) settle(service string, w *way, began time.Time, tried int, reached bool) {
	now := p.o.Now()
	p.mu.Lock()
	before := w.state.ChangedAt()
	isChange := w.state.Round(began, now, tried, reached)
	isCut := w.state.IsCut()
	switch {
	case isChange && isCut:
		close(w.cut)
	case isChange:
		w.cut = make(chan struct{})
	}
	p.mu.Unlock()
	if !isChange {
		return
	}
	if isCut {
		p.o.Count(CutOff)
		p.o.Log.WithFields(logrus.Fields{"Service": service, "Tried": tried}).Warn("cut off from all endpoints")
	} else {
		p.o.Log.WithFields(logrus.Fields{"Service": service, "CutMs": now.Sub(before).Milliseconds()}).Info("endpoints reached again")
	}
	p.o.OnChange(service, isCut)
}
