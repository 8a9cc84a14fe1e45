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

// Relay serves completions and knows which of them are open here.
type Relay struct {
	deps     Deps
	counters *tlmetric.Group
	life     context.Context
	leave    context.CancelFunc

	mu   sync.Mutex
	runs map[string]*run
}

// New returns a relay without open requests.
func New(d Deps) *Relay {
	life, leave := context.WithCancel(context.Background())
	return &Relay{
		deps:     d,
		counters: d.Metrics.Group("Relay", counterNames...),
		life:     life,
		leave:    leave,
		runs:     map[string]*run{},
	}
}

// Do serves a request until its whole answer is out; errors are tlverdict errors.
func (r *Relay) Do(ctx context.Context, q Request, out Sink) error {
	ctx, stop := r.bound(ctx)
	defer stop()
	n := newRun(r, q, out)
	r.open(n)
	defer r.close(n)
	r.counters.Count(requests)
	return r.end(n, n.serve(ctx))
}

// Resume goes on with a stream behind a position; errors are tlverdict errors.
func (r *Relay) Resume(ctx context.Context, p tleventid.Position, q Request, out Sink) error {
	if p.BodyDigest != q.BodyDigest {
		return tlverdict.New(tlverdict.BadEventID, "the event id belongs to another request body")
	}
	if p.Finish != "" {
		return nil
	}
	q.ID = p.Request
	ctx, stop := r.bound(ctx)
	defer stop()
	n := newRun(r, q, out)
	r.open(n)
	defer r.close(n)
	r.counters.Count(resumed)
	return r.end(n, n.resume(ctx, p))
}

// Deliver hands a home's step to its request; one for a request not open here is dropped.
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

// Owns says for each request whether it is open here.
func (r *Relay) Owns(requests []string) []bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	owned := make([]bool, len(requests))
	for i, q := range requests {
		owned[i] = r.runs[q] != nil
	}
	return owned
}

// Serves says for each attempt whether a request that is open here is at it.
func (r *Relay) Serves(attempts []string) []bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	served := make([]bool, len(attempts))
	for i, a := range attempts {
		n := r.runs[requestOf(a)]
		served[i] = n != nil && n.current() == a
	}
	return served
}

// requestOf returns the request that an attempt belongs to.
func requestOf(attempt string) string {
	return attempt[:max(0, strings.LastIndexByte(attempt, '/'))]
}

// OpenCount counts the requests that are open here.
func (r *Relay) OpenCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.runs)
}

// Shutdown ends all requests here, those that come later too, and lets their
// streams go on at the engines, so that callers can resume them elsewhere.
func (r *Relay) Shutdown() {
	r.leave()
}

// bound ends a request when the relay leaves.
func (r *Relay) bound(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, stop := context.WithCancel(ctx)
	forget := context.AfterFunc(r.life, stop)
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
	if r.life.Err() == nil {
		n.abandon(err)
	}
	return err
}
