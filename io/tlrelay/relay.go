package tlrelay

import (
	"context"
	"strings"
	"sync"

	"trefoillanding/core/tleventid"
	"trefoillanding/core/tlverdict"
	"trefoillanding/core/tlwire"
	"trefoillanding/io/tlmetric"
)

// Relay serves completions and tracks those open on this instance.
type Relay struct {
	deps     Deps
	counters *tlmetric.Group
	lifetime context.Context
	stop     context.CancelFunc

	mu   sync.Mutex
	runs map[string]*run
}

// New returns a relay without open requests.
func New(d Deps) *Relay {
	ctx, stop := context.WithCancel(context.Background())
	return &Relay{
		deps:     d,
		counters: d.Metrics.Group("Relay", counterNames...),
		lifetime: ctx,
		stop:     stop,
		runs:     map[string]*run{},
	}
}

// Do serves a request until its whole answer has been sent; errors are tlverdict errors.
func (r *Relay) Do(ctx context.Context, q Request, out Sink) error {
	ctx, stop := r.withShutdown(ctx)
	defer stop()
	n := newRun(r, q, out)
	r.open(n)
	defer r.close(n)
	r.counters.Count(requests)
	return r.end(n, n.serve(ctx))
}

// Resume continues a stream after position p; errors are tlverdict errors.
func (r *Relay) Resume(ctx context.Context, p tleventid.Position, q Request, out Sink) error {
	if p.BodyDigest != q.BodyDigest {
		return tlverdict.New(tlverdict.BadEventID, "the event id belongs to another request body")
	}
	if p.Finish != "" {
		return nil
	}
	q.ID = p.Request
	ctx, stop := r.withShutdown(ctx)
	defer stop()
	n := newRun(r, q, out)
	r.open(n)
	defer r.close(n)
	r.counters.Count(resumed)
	return r.end(n, n.resume(ctx, p))
}

// Deliver queues a home's step for its request; a step for a request not open here is dropped.
func (r *Relay) Deliver(s tlwire.Step) {
	r.mu.Lock()
	n := r.runs[s.Request]
	r.mu.Unlock()
	if n == nil {
		r.counters.Count(staleStep)
		return
	}
	n.push(s)
}

// Owns reports for each request whether it is open here.
func (r *Relay) Owns(requests []string) []bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	owned := make([]bool, len(requests))
	for i, q := range requests {
		owned[i] = r.runs[q] != nil
	}
	return owned
}

// Serves reports for each attempt whether it is the current attempt of a request open here.
func (r *Relay) Serves(attempts []string) []bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	served := make([]bool, len(attempts))
	for i, a := range attempts {
		n := r.runs[requestOf(a)]
		served[i] = n != nil && n.currentAttempt() == a
	}
	return served
}

// requestOf returns the request that an attempt belongs to.
func requestOf(attempt string) string {
	return attempt[:max(0, strings.LastIndexByte(attempt, '/'))]
}

// OpenCount returns the number of requests open here.
func (r *Relay) OpenCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.runs)
}

// Shutdown ends all requests here, including later ones, and leaves their streams
// running at the engines, so that callers can resume them at other instances.
func (r *Relay) Shutdown() {
	r.stop()
}

// withShutdown returns a context that also ends when the relay shuts down.
func (r *Relay) withShutdown(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, stop := context.WithCancel(ctx)
	forget := context.AfterFunc(r.lifetime, stop)
	return ctx, func() {
		forget()
		stop()
	}
}

func (r *Relay) open(n *run) {
	r.mu.Lock()
	earlier := r.runs[n.request.ID]
	r.runs[n.request.ID] = n
	r.mu.Unlock()
	if earlier != nil {
		earlier.takeOver()
	}
}

func (r *Relay) close(n *run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.runs[n.request.ID] == n {
		delete(r.runs, n.request.ID)
	}
}

func (r *Relay) end(n *run, err error) error {
	if err == nil {
		r.counters.Count(answered)
		return nil
	}
	if r.lifetime.Err() == nil {
		n.abandon(err)
	}
	return err
}
