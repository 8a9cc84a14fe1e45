package tlledger

import (
	"context"
	"fmt"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"trefoillanding/core/tlclaim"
	"trefoillanding/core/tlverdict"
	"trefoillanding/core/tlwire"
)

const (
	sweepEvery = time.Second
	// burst is how much of the append budget may be spent at once.
	burst = 100 * time.Millisecond
)

// HomeOptions sets up a Home.
type HomeOptions struct {
	// Log is the platform's log.
	Log Log
	// Streams is the number of streams that claims are spread over.
	Streams int
	// AppendsPerSecond is the budget of all streams of this home together.
	AppendsPerSecond float64
	// BatchDelay is how long an append waits for others to join it.
	BatchDelay time.Duration
	// Resolve bounds the wait for the log to take a claim and show it.
	Resolve time.Duration
	// Idle is how long a stream is folded after it was last asked about.
	Idle time.Duration
	// Owns says whether this instance is the home of a stream, which it then
	// folds whether asked or not; nil owns none.
	Owns func(stream int) bool
	// Now returns the time.
	Now func() time.Time
}

// Home folds the claim streams that this instance is asked about.
type Home struct {
	options HomeOptions
	limiter *rate.Limiter
	stop    context.CancelFunc
	done    chan struct{}

	mu       sync.Mutex
	streams  map[int]*used
	isClosed bool
}

// used is a stream with the time it was last asked about.
type used struct {
	stream *Stream
	last   time.Time
	open   int
}

// NewHome returns a home that folds nothing yet.
func NewHome(o HomeOptions) *Home {
	ctx, stop := context.WithCancel(context.Background())
	h := &Home{
		options: o,
		limiter: rate.NewLimiter(rate.Limit(o.AppendsPerSecond), max(1, int(o.AppendsPerSecond*burst.Seconds()))),
		stop:    stop,
		done:    make(chan struct{}),
		streams: map[int]*used{},
	}
	go h.sweep(ctx)
	return h
}

// StreamName returns the log stream of a number.
func StreamName(n int) string {
	return fmt.Sprintf("claims-%d", n)
}

// Claim decides a claim of an instance.
func (h *Home) Claim(ctx context.Context, c tlwire.ClaimCall) tlwire.ClaimAnswer {
	if len(c.Claim.Digest) != len(tlclaim.Digest{}) {
		return refusal(tlverdict.New(tlverdict.BadBody, "the digest has the wrong length"))
	}
	ctx, cancel := context.WithTimeout(ctx, c.Wait)
	defer cancel()
	n := tlclaim.NewID(c.Claim.Service, c.Claim.Key).Stream(h.options.Streams)
	s, ok := h.enter(n)
	if !ok {
		return refusal(tlverdict.New(tlverdict.NoHome, "the instance is ending").WithRetryAfter(retryAfter))
	}
	defer h.leave(n)
	return s.claim(ctx, c.Claim, h.options.Resolve)
}

// Note appends the end of a claim and returns once it is in the log.
func (h *Home) Note(ctx context.Context, n tlwire.ClaimNote) (tlwire.ClaimNoteAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, h.options.Resolve)
	defer cancel()
	id, ok := idOf(n)
	if !ok {
		return tlwire.ClaimNoteAnswer{}, tlverdict.New(tlverdict.BadBody, "the note is empty")
	}
	i := id.Stream(h.options.Streams)
	s, ok := h.enter(i)
	if !ok {
		return tlwire.ClaimNoteAnswer{}, errStopped
	}
	defer h.leave(i)
	if err := s.note(ctx, n); err != nil {
		return tlwire.ClaimNoteAnswer{}, err
	}
	return tlwire.ClaimNoteAnswer{IsAppended: true}, nil
}

// Keys returns the number of keys known in all streams.
func (h *Home) Keys() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, u := range h.streams {
		n += u.stream.Keys()
	}
	return n
}

// Close stops folding.
func (h *Home) Close() {
	h.stop()
	<-h.done
	h.mu.Lock()
	streams := h.streams
	h.streams = map[int]*used{}
	h.isClosed = true
	h.mu.Unlock()
	for _, u := range streams {
		u.stream.Close()
	}
}

// Done is closed when the home has ended.
func (h *Home) Done() <-chan struct{} {
	return h.done
}

// enter returns a stream in use; false means that the home is closed.
func (h *Home) enter(n int) (*Stream, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.isClosed {
		return nil, false
	}
	u, ok := h.streams[n]
	if !ok {
		name := StreamName(n)
		a := NewAppender(name, h.options.Log, h.limiter, h.options.BatchDelay)
		u = &used{stream: NewStream(name, h.options.Log, a, h.options.Now)}
		h.streams[n] = u
	}
	u.open++
	u.last = h.options.Now()
	return u.stream, true
}

func (h *Home) leave(n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if u, ok := h.streams[n]; ok {
		u.open--
		u.last = h.options.Now()
	}
}

func (h *Home) sweep(ctx context.Context) {
	defer close(h.done)
	for sleep(ctx, sweepEvery) {
		h.openOwned()
		for _, s := range h.idle() {
			s.Close()
		}
	}
}

// openOwned starts to fold the streams whose home this is.
func (h *Home) openOwned() {
	if h.options.Owns == nil {
		return
	}
	for n := range h.options.Streams {
		if !h.options.Owns(n) {
			continue
		}
		if _, ok := h.enter(n); ok {
			h.leave(n)
		}
	}
}

func (h *Home) idle() []*Stream {
	h.mu.Lock()
	defer h.mu.Unlock()
	var idle []*Stream
	for n, u := range h.streams {
		if u.open == 0 && h.options.Now().Sub(u.last) > h.options.Idle {
			idle = append(idle, u.stream)
			delete(h.streams, n)
		}
	}
	return idle
}

func idOf(n tlwire.ClaimNote) (tlclaim.ID, bool) {
	switch {
	case n.Outcome != nil:
		return tlclaim.NewID(n.Outcome.Service, n.Outcome.Key), true
	case n.Release != nil:
		return tlclaim.NewID(n.Release.Service, n.Release.Key), true
	}
	return tlclaim.ID{}, false
}
