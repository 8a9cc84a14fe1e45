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
	// Endpoints returns the endpoints that are listed and do not leave.
	Endpoints func() []tlendpoint.Endpoint
	// IsDoubted reports whether the last sends to an endpoint failed; it is dialled after others.
	IsDoubted func(id string) bool
	// Dial opens a connection to an endpoint and closes it.
	Dial func(context.Context, tlendpoint.Endpoint) error
	// QuietFor returns how long nothing has been heard while answers are awaited; 0 if none are.
	QuietFor func() time.Duration
	// OnChange is called when the instance is cut off, or reaches endpoints again.
	OnChange func(isCut bool)
	// Now returns the current time.
	Now func() time.Time
	// Random returns a source of random numbers.
	Random *rand.Rand
	// Log receives the cuts that begin and end.
	Log *logrus.Entry
	// Count adds one to a counter of CounterNames.
	Count func(reason string)
}

// Prober knows whether this instance reaches endpoints.
type Prober struct {
	o    Options
	done chan struct{}
	ctx  context.Context
	stop context.CancelFunc
	// dialling counts the rounds under way; none begins after stop was called.
	dialling sync.WaitGroup

	mu    sync.Mutex
	state tlreach.State
	// ended is closed when the round under way has ended; nil if there is none.
	ended chan struct{}
	// cut is closed once the instance is cut off.
	cut chan struct{}
}

// New returns a Prober that has tried nothing yet.
func New(o Options) *Prober {
	p := &Prober{o: o, done: make(chan struct{}), cut: make(chan struct{})}
	p.ctx, p.stop = context.WithCancel(context.Background())
	return p
}

// Run looks for cuts that nothing else shows, and for their ends, until ctx ends.
func (p *Prober) Run(ctx context.Context) {
	defer close(p.done)
	t := time.NewTicker(quietCheckInterval)
	defer t.Stop()
	var looked time.Time
	for {
		select {
		case <-ctx.Done():
			p.end()
			return
		case <-t.C:
		}
		now := p.o.Now()
		isQuiet := p.o.QuietFor() >= quietAfter && now.Sub(looked) >= quietInterval
		isDue := p.IsCut() && now.Sub(looked) >= retryInterval
		if isQuiet || isDue {
			looked = now
			p.round(ctx)
		}
	}
}

// Done returns a channel that is closed when Run has ended.
func (p *Prober) Done() <-chan struct{} {
	return p.done
}

// IsCut reports whether this instance is known to be cut off from all endpoints.
func (p *Prober) IsCut() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.IsCut()
}

// WasCutSince reports whether this instance is cut off from all endpoints, or was at a time or later.
func (p *Prober) WasCutSince(t time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.IsCut() || p.state.ChangedAt().After(t)
}

// Cut returns a channel that is closed while this instance is cut off.
func (p *Prober) Cut() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cut
}

// Check finds out, after a failure, whether this instance is cut off from all endpoints.
func (p *Prober) Check(ctx context.Context) bool {
	if !p.IsCut() {
		p.round(ctx)
	}
	return p.IsCut()
}

// round dials endpoints, unless another round is under way, and waits for its end.
func (p *Prober) round(ctx context.Context) {
	p.mu.Lock()
	ended := p.ended
	if ended == nil && p.ctx.Err() == nil {
		ended = make(chan struct{})
		p.ended = ended
		// The round is for all who wait, not only for the one who began it.
		p.dialling.Go(func() { p.dialAll(ended) })
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

// end ends the round under way; none begins afterwards.
func (p *Prober) end() {
	p.mu.Lock()
	p.stop()
	p.mu.Unlock()
	p.dialling.Wait()
}

// dialAll dials some endpoints, and more if the first give no word.
func (p *Prober) dialAll(ended chan struct{}) {
	p.o.Count(Rounds)
	began := p.o.Now()
	ctx, stop := context.WithTimeout(p.ctx, moreAfter+dialTimeout)
	list := p.targets()
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
		p.settle(began, dialled, reached)
	}
	stop()
	dialling.Wait()
	p.mu.Lock()
	p.ended = nil
	p.mu.Unlock()
	close(ended)
}

// targets returns the endpoints to dial, in random order, those last that are doubted: where
// most endpoints are down, the others tell that the instance is not cut off.
func (p *Prober) targets() []tlendpoint.Endpoint {
	list := slices.Clone(p.o.Endpoints())
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
func (p *Prober) settle(began time.Time, tried int, reached bool) {
	now := p.o.Now()
	p.mu.Lock()
	before := p.state.ChangedAt()
	isChange := p.state.Round(began, now, tried, reached)
	isCut := p.state.IsCut()
	switch {
	case isChange && isCut:
		close(p.cut)
	case isChange:
		p.cut = make(chan struct{})
	}
	p.mu.Unlock()
	if !isChange {
		return
	}
	if isCut {
		p.o.Count(CutOff)
		p.o.Log.WithField("Tried", tried).Warn("cut off from all endpoints")
	} else {
		p.o.Log.WithField("CutMs", now.Sub(before).Milliseconds()).Info("endpoints reached again")
	}
	p.o.OnChange(isCut)
}
