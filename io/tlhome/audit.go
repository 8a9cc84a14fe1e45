package tlhome

import (
	"context"
	"time"

	"trefoillanding/core/tlwire"
)

// auditLoop periodically cancels requests that their owners no longer serve,
// since an owner's final report may be lost.
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
	for o, requests := range p.silentRequests() {
		owned, err := p.deps.Owns(ctx, o, requests)
		if err != nil || len(owned) != len(requests) {
			p.counters.Count(auditFailed)
			continue
		}
		p.cancelUnowned(o, requests, owned)
	}
}

// silentRequests returns, for each owner, the requests without a submission or
// report within the last audit interval.
func (p *pool) silentRequests() map[Owner][]string {
	p.mu.Lock()
	defer p.mu.Unlock()
	silent := map[Owner][]string{}
	before := p.deps.Now().Add(-p.deps.Times.AuditInterval)
	for name, r := range p.requests {
		if r.lastHeard.After(before) {
			continue
		}
		silent[r.owner] = append(silent[r.owner], name)
	}
	return silent
}

func (p *pool) cancelUnowned(o Owner, requests []string, owned []bool) {
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
