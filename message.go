package trefoillanding

import (
	"context"
	"time"

	"trefoillanding/core/tlmember"
	"trefoillanding/core/tlverdict"
	"trefoillanding/core/tlwire"
	"trefoillanding/io/tlhome"
	"trefoillanding/io/tloutbox"
	"trefoillanding/io/tlpeer"
)

// The kinds of peer messages between the instances that own requests and the homes of pools.
const (
	kindSubmit = "Submit"
	kindReport = "Report"
	kindStep   = "Step"
	kindOwns   = "Owns"
	kindServes = "Serves"
)

// noHomeRetryAfter is the Retry-After of a request whose pool's home can't be reached.
const noHomeRetryAfter = time.Second

func (i *Instance) handleMessages() {
	tlpeer.Handle(i.mesh, kindSubmit, func(_ context.Context, _ tlpeer.Peer, s tlwire.Submission) (tlpeer.Empty, error) {
		return tlpeer.Empty{}, i.homes.Submit(s)
	})
	tlpeer.Handle(i.mesh, kindReport, func(_ context.Context, p tlpeer.Peer, r tlwire.Report) (tlpeer.Empty, error) {
		return tlpeer.Empty{}, i.homes.Report(tlhome.Owner{Name: p.Name, Incarnation: p.Incarnation}, r)
	})
	tlpeer.Handle(i.mesh, kindStep, func(_ context.Context, _ tlpeer.Peer, s tlwire.Step) (tlpeer.Empty, error) {
		i.relay.Deliver(s)
		return tlpeer.Empty{}, nil
	})
	tlpeer.Handle(i.mesh, kindOwns, func(_ context.Context, _ tlpeer.Peer, c tlwire.OwnsCall) (tlwire.OwnsAnswer, error) {
		return tlwire.OwnsAnswer{Owned: i.ownsHere(c)}, nil
	})
	tlpeer.Handle(i.mesh, kindServes, func(_ context.Context, _ tlpeer.Peer, c tlwire.ServesCall) (tlwire.OwnsAnswer, error) {
		return tlwire.OwnsAnswer{Owned: i.servesHere(c)}, nil
	})
}

func (i *Instance) ownsHere(c tlwire.OwnsCall) []bool {
	if c.Incarnation != i.incarnation {
		return make([]bool, len(c.Requests))
	}
	return i.relay.Owns(c.Requests)
}

// homeOf returns the instance that is the pool's home in this instance's view of the
// membership.
func (i *Instance) homeOf(p tlwire.Pool) string {
	return i.gossip.Home(p.Name, p.DataCentre)
}

func (i *Instance) homeByPoolName(pool string) string {
	_, c := i.current()
	if c == nil {
		return i.settings.Name
	}
	p, _ := c.Pool(pool)
	return i.homeOf(p)
}

// submit sends a request to its pool's home; the error is NoHome when the home can't be
// reached.
func (i *Instance) submit(ctx context.Context, s tlwire.Submission) error {
	home := i.homeByPoolName(s.Pool)
	if home == i.settings.Name {
		return i.homes.Submit(s)
	}
	ctx, stop := context.WithTimeout(ctx, peerTimeout)
	defer stop()
	_, err := tlpeer.Call[tlwire.Submission, tlpeer.Empty](ctx, i.mesh, home, kindSubmit, s)
	if err == nil {
		return nil
	}
	return tlverdict.New(tlverdict.NoHome, "the home of pool %s can't be reached: %v", s.Pool, err).WithRetryAfter(noHomeRetryAfter)
}

func (i *Instance) report(r tlwire.Report) {
	home := i.homeByPoolName(r.Pool)
	if home == i.settings.Name {
		_ = i.homes.Report(tlhome.Owner{Name: i.settings.Name, Incarnation: i.incarnation}, r)
		return
	}
	post(i, home, kindReport, r)
}

func (i *Instance) deliver(owner string, s tlwire.Step) {
	if owner == i.settings.Name {
		i.relay.Deliver(s)
		return
	}
	post(i, owner, kindStep, s)
}

func post[M any](i *Instance, peer, kind string, m M) {
	i.outbox.Post(peer, tloutbox.Message{
		Kind: kind,
		Send: func(ctx context.Context) error {
			return tlpeer.Send(ctx, i.mesh, peer, kind, m)
		},
	})
}

// owns asks an owner which of the requests it still serves; an owner that is gone serves
// none.
func (i *Instance) owns(ctx context.Context, o tlhome.Owner, requests []string) ([]bool, error) {
	c := tlwire.OwnsCall{Incarnation: o.Incarnation, Requests: requests}
	if o.Name == i.settings.Name {
		return i.ownsHere(c), nil
	}
	ctx, stop := context.WithTimeout(ctx, peerTimeout)
	defer stop()
	a, err := tlpeer.Call[tlwire.OwnsCall, tlwire.OwnsAnswer](ctx, i.mesh, o.Name, kindOwns, c)
	if err != nil && i.gossip.OwnerLiveness(o.Name, o.Incarnation) == tlmember.Gone {
		return make([]bool, len(requests)), nil
	}
	return a.Owned, err
}
