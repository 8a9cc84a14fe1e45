package tlstandin

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"trefoillanding/core/tlwire"
)

// ProbeTimes sets how the platform looks at its instances.
type ProbeTimes struct {
	// Every is the time between two looks.
	Every time.Duration
	// GoneAfter is how long an instance may be silent before it leaves the list.
	GoneAfter time.Duration
}

// NewProbeTimes returns the times of an ordinary platform.
func NewProbeTimes() ProbeTimes {
	return ProbeTimes{Every: 500 * time.Millisecond, GoneAfter: 2 * time.Second}
}

// Prober keeps the platform's instance list true by asking every instance that
// was ever set for its health.
type Prober struct {
	platform *Platform
	times    ProbeTimes
	client   *http.Client
	heard    map[string]time.Time
	done     chan struct{}
}

// NewProber returns a prober that has not started.
func NewProber(p *Platform, t ProbeTimes) *Prober {
	return &Prober{
		platform: p,
		times:    t,
		client:   &http.Client{Transport: &http.Transport{}, Timeout: t.Every},
		heard:    map[string]time.Time{},
		done:     make(chan struct{}),
	}
}

// Done is closed when the prober has ended.
func (p *Prober) Done() <-chan struct{} {
	return p.done
}

// Run looks at the instances until the context ends.
func (p *Prober) Run(x context.Context) {
	defer close(p.done)
	defer p.client.CloseIdleConnections()
	t := time.NewTicker(p.times.Every)
	defer t.Stop()
	for {
		p.look(x)
		select {
		case <-t.C:
		case <-x.Done():
			return
		}
	}
}

func (p *Prober) look(x context.Context) {
	p.platform.mutex.Lock()
	known, listed := p.platform.known, p.platform.latest()
	p.platform.mutex.Unlock()
	last := map[string]tlwire.InstanceState{}
	for _, i := range listed {
		last[i.Name] = i.State
	}
	seen := make([]*tlwire.Health, len(known))
	var g sync.WaitGroup
	for n, i := range known {
		g.Go(func() { seen[n] = p.ask(x, i) })
	}
	g.Wait()
	now := time.Now()
	states := map[string]tlwire.InstanceState{}
	for n, i := range known {
		s, stays := p.state(now, i.Name, seen[n], last)
		if stays {
			states[i.Name] = s
		}
	}
	if x.Err() == nil {
		p.platform.observe(states)
	}
}

// state says in which state an instance is listed, if it is.
func (p *Prober) state(
	now time.Time, name string, h *tlwire.Health, last map[string]tlwire.InstanceState,
) (tlwire.InstanceState, bool) {
	if h != nil {
		p.heard[name] = now
		if h.Draining {
			return tlwire.InstanceStateLeaving, true
		}
		return tlwire.InstanceStateLive, true
	}
	if p.heard[name].IsZero() {
		p.heard[name] = now
	}
	s, listed := last[name]
	return s, listed && now.Sub(p.heard[name]) < p.times.GoneAfter
}

// ask returns an instance's health, or nil when it gave no answer at all; one
// that answers something else, as over TLS, is there and does not drain.
func (p *Prober) ask(x context.Context, i tlwire.Instance) *tlwire.Health {
	r, err := http.NewRequestWithContext(x, http.MethodGet, "http://"+i.Address.String()+"/healthz", nil)
	if err != nil {
		return nil
	}
	w, err := p.client.Do(r)
	if err != nil {
		return nil
	}
	defer w.Body.Close()
	var h tlwire.Health
	if json.NewDecoder(w.Body).Decode(&h) != nil {
		return &tlwire.Health{}
	}
	return &h
}
