package tlhome

import (
	"context"
	"time"

	"trefoillanding/core/tlwire"
)

// auditLoop frees what owners no longer serve, since a report may be lost.
func (p *pool) auditLoop(ctx context.Context) {
	t := time.NewTicker(p.deps.Times.AuditInterval)
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
		owned, err := p.deps.Owns(ctx, o, requests)
		if err != nil || len(owned) != len(requests) {
			p.counters.Count(auditFailed)
			continue
		}
		p.drop(o, requests, owned)
	}
}

// quiet returns the requests of which nothing was heard since the last audit.
func (p *pool) quiet() map[Owner][]string {
	p.mu.Lock()
	defer p.mu.Unlock()
	quiet := map[Owner][]string{}
	before := p.deps.Now().Add(-p.deps.Times.AuditInterval)
	for name, r := range p.requests {
		if r.heard.After(before) {
			continue
		}
		quiet[r.owner] = append(quiet[r.owner], name)
	}
	return quiet
}

func (p *pool) drop(o Owner, requests []string, owned []bool) {
	for i, name := range requests {
		if owned[i] {
			continue
		}
		p.counters.Count(auditDropped)
		p.report(o, tlwire.Report{
			Pool:    p.config.Name,
			Request: name,
			Kind:    tlwire.ReportKindCancelled,
		})
	}
}
