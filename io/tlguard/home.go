package tlguard

import (
	"context"
	"strconv"

	"github.com/sirupsen/logrus"

	"trefoillanding/core/tlquarantine"
	"trefoillanding/core/tlwire"
	"trefoillanding/io/tlpeer"
)

func (g *Guard) handleCrash(_ context.Context, _ tlpeer.Peer, r tlwire.CrashReport) (tlpeer.Empty, error) {
	g.noteCrash(r)
	return tlpeer.Empty{}, nil
}

// noteCrash takes in, as the home, what an owner has seen of an endpoint.
func (g *Guard) noteCrash(r tlwire.CrashReport) {
	now := g.o.Now()
	at, incarnation := now.Add(-r.Age), r.Endpoint+"/"+strconv.FormatInt(r.Incarnation, 10)
	if r.IsAlive {
		g.mu.Lock()
		lifted := g.serviceOf(r.Service).table.Alive(now, at, incarnation)
		g.mu.Unlock()
		g.announceLifted(r.Service, lifted)
		return
	}
	g.mu.Lock()
	s := g.serviceOf(r.Service)
	part, endpoints, ok := s.table.Crashed(at, incarnation, r.Parts)
	if ok {
		s.hold(now, now.Add(tlquarantine.HoldTime), part)
	}
	g.mu.Unlock()
	if ok {
		g.announceQuarantine(r.Service, part, endpoints)
	}
}

// announceQuarantine tells all that this instance has put a part in quarantine.
func (g *Guard) announceQuarantine(name, part string, endpoints []string) {
	g.mu.Lock()
	beside, _ := g.serviceOf(name).table.Beside(part)
	g.mu.Unlock()
	q := tlwire.Quarantine{Service: name, Part: part, Until: g.o.Now().Add(tlquarantine.HoldTime), Beside: beside}
	g.o.Count(Quarantined)
	g.logPart(name, part).WithFields(logrus.Fields{"Endpoints": endpoints, "Until": q.Until, "Beside": beside}).Warn("part quarantined")
	g.o.OnQuarantine(q)
	g.broadcast(tlwire.QuarantineNotice{Service: name, Part: part, Left: tlquarantine.HoldTime, Beside: beside})
}

func (g *Guard) handleAnswered(_ context.Context, _ tlpeer.Peer, r tlwire.PartsAnswered) (tlpeer.Empty, error) {
	g.mu.Lock()
	lifted := g.serviceOf(r.Service).table.Answered(g.o.Now(), r.Parts)
	g.mu.Unlock()
	g.lifted(r.Service, lifted)
	return tlpeer.Empty{}, nil
}

// lifted announces that answers have ended the quarantine of parts, and blames others
// for the crashes that those explained.
func (g *Guard) lifted(name string, parts []string) {
	if len(parts) == 0 {
		return
	}
	g.announceLifted(name, parts)
	now := g.o.Now()
	for {
		g.mu.Lock()
		s := g.serviceOf(name)
		part, endpoints, ok := s.table.Reassess(now)
		if ok {
			s.hold(now, now.Add(tlquarantine.HoldTime), part)
		}
		g.mu.Unlock()
		if !ok {
			return
		}
		g.announceQuarantine(name, part, endpoints)
	}
}

// announceLifted tells all that the quarantine of parts has ended.
func (g *Guard) announceLifted(name string, parts []string) {
	for _, part := range parts {
		g.o.Count(QuarantineLifted)
		g.logPart(name, part).Warn("quarantine lifted, since endpoints live on or have answered")
		g.o.OnLifted(name, part)
		g.broadcast(tlwire.QuarantineNotice{Service: name, Part: part, IsLifted: true})
	}
}

func (g *Guard) broadcast(n tlwire.QuarantineNotice) {
	for _, peer := range g.o.Others() {
		g.o.Post(peer, kindQuarantine, func(ctx context.Context) error {
			return tlpeer.Send(ctx, g.o.Mesh, peer, kindQuarantine, n)
		})
	}
}

func (g *Guard) handleQuarantine(_ context.Context, from tlpeer.Peer, n tlwire.QuarantineNotice) (tlpeer.Empty, error) {
	l := g.logPart(n.Service, n.Part).WithField("Home", from.Name)
	if n.IsLifted {
		if g.release(n.Service, n.Part) {
			l.Info("quarantine lifted, by its home")
		}
		return tlpeer.Empty{}, nil
	}
	q := tlwire.Quarantine{Service: n.Service, Part: n.Part, Until: g.o.Now().Add(n.Left), Beside: n.Beside}
	if g.hold(q, n.Trials) {
		l.WithField("LeftMs", n.Left.Milliseconds()).Info("part quarantined, by its home")
	}
	return tlpeer.Empty{}, nil
}
