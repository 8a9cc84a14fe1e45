package tlhome

import (
	"context"
	"sync"
	"time"

	"trefoillanding/core/tlsched"
	"trefoillanding/core/tlwire"
)

// watch follows one engine's load, cache events and state.
type watch struct {
	engine tlwire.Engine
	state  tlsched.EngineState
	heard  time.Time
	after  uint64
}

// watchEngines keeps one watch for each engine of the configuration.
func (p *pool) watchEngines(ctx context.Context) {
	watches := map[string]*watch{}
	t := time.NewTicker(p.deps.Times.LoadInterval)
	defer t.Stop()
	for {
		p.look(ctx, p.watchList(watches))
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (p *pool) watchList(watches map[string]*watch) []*watch {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]*watch, 0, len(p.config.Engines))
	for _, e := range p.config.Engines {
		w := watches[e.Name]
		if w == nil || w.engine.Address != e.Address {
			w = &watch{engine: e, heard: p.deps.Now()}
			watches[e.Name] = w
		}
		list = append(list, w)
	}
	return list
}

func (p *pool) look(ctx context.Context, list []*watch) {
	var asked sync.WaitGroup
	for _, w := range list {
		asked.Go(func() { p.lookAt(ctx, w) })
	}
	asked.Wait()
}

func (p *pool) lookAt(ctx context.Context, w *watch) {
	ctx, stop := context.WithTimeout(ctx, p.deps.Times.Timeout)
	defer stop()
	l, err := p.deps.Load(ctx, w.engine.Address)
	if err != nil {
		p.counters.Count(loadFailed)
		p.silent(w)
		return
	}
	l.Name = w.engine.Name
	w.heard = p.deps.Now()
	state := tlsched.EngineLive
	if l.Draining || p.deps.Leaving(w.engine.Name) {
		state = tlsched.EngineLeaving
	}
	p.setState(w, state)
	p.mu.Lock()
	p.deliver(p.scheduler.UpdateLoad(p.deps.Now(), l))
	p.mu.Unlock()
	p.readEvents(ctx, w)
}

func (p *pool) silent(w *watch) {
	if p.deps.Now().Sub(w.heard) >= p.deps.Times.GoneAfter {
		p.setState(w, tlsched.EngineGone)
		return
	}
	if p.deps.Leaving(w.engine.Name) {
		p.setState(w, tlsched.EngineLeaving)
	}
}

var stateCounters = map[tlsched.EngineState]string{
	tlsched.EngineLive:    engineBack,
	tlsched.EngineLeaving: engineLeaving,
	tlsched.EngineGone:    engineGone,
}

func (p *pool) setState(w *watch, s tlsched.EngineState) {
	if w.state == s {
		return
	}
	w.state = s
	p.counters.Count(stateCounters[s])
	p.mu.Lock()
	defer p.mu.Unlock()
	p.deliver(p.scheduler.SetEngineState(p.deps.Now(), w.engine.Name, s))
}

func (p *pool) readEvents(ctx context.Context, w *watch) {
	if w.engine.Role == tlwire.RoleDecode {
		return
	}
	e, err := p.deps.CacheEvents(ctx, w.engine.Address, w.after)
	if err != nil {
		p.counters.Count(eventsFailed)
		return
	}
	w.after = e.Next
	p.mu.Lock()
	defer p.mu.Unlock()
	p.scheduler.ApplyCacheEvents(p.deps.Now(), w.engine.Name, e)
}
