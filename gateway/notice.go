package gateway

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"trefoillanding/core/tlcall"
	"trefoillanding/core/tlendpoint"
	"trefoillanding/core/tlwire"
	"trefoillanding/io/tlpeer"
	"trefoillanding/io/tlsend"
)

// kindLeaving is the kind of message with which an instance tells the home of a
// service that an engine has said that it leaves.
const kindLeaving = "Leaving"

func (i *Instance) sendHooks(dial dialFunc) tlsend.Hooks {
	return tlsend.Hooks{
		Dial:     dial,
		OnDial:   func() { i.counters.endpoints.Count(connectionsMade) },
		OnAnswer: i.onAnswer,
		OnUnproved: func(e tlendpoint.Endpoint, cause error) {
			i.counters.endpoints.Count(answerUnproved)
			i.log.WithFields(logrus.Fields{"Endpoint": e.ID, "Service": e.Service, "Cause": cause.Error()}).Debug("answer dropped")
		},
		Admit: func(ctx context.Context, e tlendpoint.Endpoint) error {
			return i.limiter.Admit(ctx, e)
		},
		AdmitFollowUp: func(ctx context.Context, e tlendpoint.Endpoint) error {
			return i.limiter.AdmitFollowUp(ctx, e)
		},
		IsLeaving: i.leavesByNow,
		IsResting: func(e tlendpoint.Endpoint) bool {
			return i.directory.IsResting(time.Now(), e)
		},
	}
}

// onAnswer takes in what an endpoint says of itself in an answer: that it leaves, wants
// rest, or takes a limited rate of requests. What another endpoint at its address says
// is not about the one meant.
func (i *Instance) onAnswer(e tlendpoint.Endpoint, a tlcall.Answer, sent time.Time) {
	if a.IsMisdirected {
		return
	}
	i.limiter.Observe(e, a.Limit, sent)
	i.guard.Alive(e, sent)
	if !a.IsLeaving && a.RestFor <= 0 {
		return
	}
	l := i.log.WithFields(logrus.Fields{"Endpoint": e.ID, "Service": e.Service, "Incarnation": e.Incarnation, "Answered": a.ID})
	if a.IsLeaving && i.markLeaving(e) {
		l.Info("endpoint says that it leaves")
		i.reportLeaving(e)
	}
	if a.RestFor <= 0 {
		return
	}
	i.counters.endpoints.Count(endpointResting)
	if i.directory.MarkResting(time.Now(), e, a.RestFor) {
		l.WithField("RestMs", a.RestFor.Milliseconds()).Info("endpoint wants rest")
	}
}

// markLeaving takes an endpoint out of use; it reports whether that is news.
func (i *Instance) markLeaving(e tlendpoint.Endpoint) bool {
	if !i.directory.MarkLeaving(time.Now(), e) {
		return false
	}
	i.counters.endpoints.Count(endpointLeaving)
	i.setEngines(i.table.Load())
	return true
}

// leavesByNow reports whether an endpoint to which a request is about to be sent is known to
// leave. It was chosen before; the home that chose it may not know yet, and is told.
func (i *Instance) leavesByNow(e tlendpoint.Endpoint) bool {
	k, ok := i.directory.FindListed(e.ID)
	if !ok || !k.IsSameIncarnation(e) || !k.IsDraining {
		return false
	}
	i.counters.endpoints.Count(chosenLeaving)
	i.reportLeaving(e)
	return true
}

// reportLeaving tells the home of an engine's service, which places for all instances.
func (i *Instance) reportLeaving(e tlendpoint.Endpoint) {
	if e.Role == tlendpoint.NoRole {
		return
	}
	home := i.gossip.Oldest(e.Service, homeCandidates)
	if home == i.settings.Name {
		return
	}
	r := tlwire.LeavingReport{Endpoint: e.ID, Incarnation: e.Incarnation}
	i.outboxPost(home, kindLeaving, func(ctx context.Context) error {
		return tlpeer.Send(ctx, i.mesh, home, kindLeaving, r)
	})
}

// handleLeavingReports takes in what other instances were told by engines. A report
// on an incarnation that is not listed here is ignored.
func (i *Instance) handleLeavingReports() {
	tlpeer.Handle(i.mesh, kindLeaving, func(_ context.Context, from tlpeer.Peer, r tlwire.LeavingReport) (tlpeer.Empty, error) {
		e, ok := i.directory.Find(r.Endpoint)
		if ok && e.Incarnation == r.Incarnation && i.markLeaving(e) {
			i.log.WithFields(logrus.Fields{"Endpoint": e.ID, "Service": e.Service, "Incarnation": e.Incarnation, "Peer": from.Name}).
				Info("endpoint leaves, by another instance's report")
		}
		return tlpeer.Empty{}, nil
	})
}
