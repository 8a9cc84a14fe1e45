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
	sweepInterval = time.Second
	// appendBurst is the time whose share of the append budget may be spent at once.
	appendBurst = 100 * time.Millisecond
)

// HomeOptions configures a Home.
type HomeOptions struct {
	// Log is the platform's log.
	Log Log
	// Streams is the number of log streams that keys are distributed over.
	Streams int
	// AppendsPerSecond limits the appends of all streams of this home together.
	AppendsPerSecond float64
	// BatchDelay is how long an append waits for more records to join its batch.
	BatchDelay time.Duration
	// ResolveTimeout limits the wait for the log to append a claim and return it to the reader.
	ResolveTimeout time.Duration
	// IdleTimeout is how long a stream stays open after its last use.
	IdleTimeout time.Duration
	// Owns reports whether this instance is the home of a stream, which is then kept open
	// even without requests; nil means that it owns none.
	Owns func(stream int) bool
	// Now returns the current time.
	Now func() time.Time
}

// Home reads the claim streams that this instance owns or is asked about, and decides
// their claims.
type Home struct {
	options HomeOptions
	limiter *rate.Limiter
	stop    context.CancelFunc
	done    chan struct{}

	mu       sync.Mutex
	streams  map[int]*activeStream
	isClosed bool
}

// activeStream is an open stream with the time of its last use and the number of calls
// in progress.
type activeStream struct {
	stream   *Stream
	lastUsed time.Time
	calls    int
}

// NewHome returns a home without open streams.
func NewHome(o HomeOptions) *Home {
	ctx, stop := context.WithCancel(context.Background())
	h := &Home{
		options: o,
		limiter: rate.NewLimiter(rate.Limit(o.AppendsPerSecond), max(1, int(o.AppendsPerSecond*appendBurst.Seconds()))),
		stop:    stop,
		done:    make(chan struct{}),
		streams: map[int]*activeStream{},
	}
	go h.sweep(ctx)
	return h
}

// StreamName returns the name of the log stream with a number.
func StreamName(n int) string {
	return fmt.Sprintf("claims-%d", n)
}

// Claim decides a claim that an instance sent.
func (h *Home) Claim(ctx context.Context, c tlwire.ClaimCall) tlwire.ClaimAnswer {
	if len(c.Claim.Digest) != len(tlclaim.Digest{}) {
		return refusal(tlverdict.New(tlverdict.BadBody, "the digest has the wrong length"))
	}
	ctx, cancel := context.WithTimeout(ctx, c.Wait)
	defer cancel()
	n := tlclaim.NewID(c.Claim.Service, c.Claim.Key).Stream(h.options.Streams)
	s, ok := h.acquire(n)
	if !ok {
		return refusal(tlverdict.New(tlverdict.NoHome, "the instance is shutting down").WithRetryAfter(retryAfter))
	}
	defer h.release(n)
	return s.claim(ctx, c.Claim, h.options.ResolveTimeout)
}

// Note appends an outcome or a release and returns once it is in the log.
func (h *Home) Note(ctx context.Context, n tlwire.ClaimNote) (tlwire.ClaimNoteAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, h.options.ResolveTimeout)
	defer cancel()
	id, ok := noteID(n)
	if !ok {
		return tlwire.ClaimNoteAnswer{}, tlverdict.New(tlverdict.BadBody, "the note is empty")
	}
	i := id.Stream(h.options.Streams)
	s, ok := h.acquire(i)
	if !ok {
		return tlwire.ClaimNoteAnswer{}, errStopped
	}
	defer h.release(i)
	if err := s.appendNote(ctx, n); err != nil {
		return tlwire.ClaimNoteAnswer{}, err
	}
	return tlwire.ClaimNoteAnswer{IsAppended: true}, nil
}

// Keys returns the number of known keys in all open streams.
func (h *Home) Keys() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, u := range h.streams {
		n += u.stream.Keys()
	}
	return n
}

// Close stops the home and closes its streams.
func (h *Home) Close() {
	h.stop()
	<-h.done
	h.mu.Lock()
	streams := h.streams
	h.streams = map[int]*activeStream{}
	h.isClosed = true
	h.mu.Unlock()
	for _, u := range streams {
		u.stream.Close()
	}
}

// Done is closed when the home has stopped opening and closing streams.
func (h *Home) Done() <-chan struct{} {
	return h.done
}

// acquire returns a stream and marks it as in use, opening it if necessary; false means
// that the home is closed.
func (h *Home) acquire(n int) (*Stream, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.isClosed {
		return nil, false
	}
	u, ok := h.streams[n]
	if !ok {
		name := StreamName(n)
		a := NewAppender(name, h.options.Log, h.limiter, h.options.BatchDelay)
		u = &activeStream{stream: NewStream(name, h.options.Log, a, h.options.Now)}
		h.streams[n] = u
	}
	u.calls++
	u.lastUsed = h.options.Now()
	return u.stream, true
}

func (h *Home) release(n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if u, ok := h.streams[n]; ok {
		u.calls--
		u.lastUsed = h.options.Now()
	}
}

func (h *Home) sweep(ctx context.Context) {
	defer close(h.done)
	for sleep(ctx, sweepInterval) {
		h.openOwned()
		for _, s := range h.removeIdle() {
			s.Close()
		}
	}
}

// openOwned opens the streams that this instance is the home of.
func (h *Home) openOwned() {
	if h.options.Owns == nil {
		return
	}
	for n := range h.options.Streams {
		if !h.options.Owns(n) {
			continue
		}
		if _, ok := h.acquire(n); ok {
			h.release(n)
		}
	}
}

func (h *Home) removeIdle() []*Stream {
	h.mu.Lock()
	defer h.mu.Unlock()
	var idle []*Stream
	for n, u := range h.streams {
		if u.calls == 0 && h.options.Now().Sub(u.lastUsed) > h.options.IdleTimeout {
			idle = append(idle, u.stream)
			delete(h.streams, n)
		}
	}
	return idle
}

func noteID(n tlwire.ClaimNote) (tlclaim.ID, bool) {
	switch {
	case n.Outcome != nil:
		return tlclaim.NewID(n.Outcome.Service, n.Outcome.Key), true
	case n.Release != nil:
		return tlclaim.NewID(n.Release.Service, n.Release.Key), true
	}
	return tlclaim.ID{}, false
}
