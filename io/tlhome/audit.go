package tlhome

import (
	"context"
	"time"

	"trefoillanding/core/tlwire"
)

type ownerKey struct {
	name        string
	incarnation uint64
}

// auditLoop frees what owners no longer serve, since a report may be lost.
func (p *pool) auditLoop(ctx context.Context) {
	t := time.NewTicker(p.deps.Times.Audit)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			p.audit(ctx)
		}
	}
}

func (p *pool) audit(ctx context.Context) {
	for o, requests := range p.quiet() {
		owned, err := p.deps.Owns(ctx, o.name, o.incarnation, requests)
		if err != nil || len(owned) != len(requests) {
			p.counters.Count(auditFailed)
			continue
		}
		p.drop(requests, owned)
	}
}

// quiet returns the requests of which nothing was heard since the last audit.
func (p *pool) quiet() map[ownerKey][]string {
	p.mu.Lock()
	defer p.mu.Unlock()
	quiet := map[ownerKey][]string{}
	before := p.deps.Now().Add(-p.deps.Times.Audit)
	for name, r := range p.requests {
		if r.heard.After(before) {
			continue
		}
		k := ownerKey{r.owner, r.incarnation}
		quiet[k] = append(quiet[k], name)
	}
	return quiet
}

func (p *pool) drop(requests []string, owned []bool) {
	for i, name := range requests {
		if owned[i] {
			continue
		}
		p.counters.Count(auditDropped)
		p.report(tlwire.Report{
			Pool:    p.config.Name,
			Request: name,
			Kind:    tlwire.ReportKindCancelled,
		})
	}
}
