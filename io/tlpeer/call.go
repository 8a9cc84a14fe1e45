package tlpeer

import (
	"context"

	"trefoillanding/core/tlcodec"
	"trefoillanding/core/tlwire"
)

// Empty is the body of a message or answer without content.
type Empty struct{}

// Call sends a request to a peer and waits for its answer until ctx ends; the
// error is an *Error, or a *tlverdict.Error when the peer's handler returned one.
func Call[Req, Res any](ctx context.Context, m *Mesh, peer, kind string, q Req) (Res, error) {
	var none Res
	body, err := tlcodec.Encode(q)
	if err != nil {
		return none, &Error{Peer: peer, Kind: kind, Failure: BadMessage, Message: err.Error()}
	}
	a, err := m.call(ctx, peer, tlwire.Envelope{Kind: kind, Body: body})
	if err != nil {
		return none, err
	}
	if a.Error != "" {
		return none, answerError(peer, a)
	}
	res, err := tlcodec.Decode[Res](a.Body)
	if err != nil {
		m.count(countBadBody)
		return none, &Error{Peer: peer, Kind: kind, Failure: BadMessage, Message: err.Error()}
	}
	return res, nil
}

// Send queues a one-way message to a peer, connecting first if necessary; a nil
// error does not mean that the message arrived.
func Send[M any](ctx context.Context, m *Mesh, peer, kind string, v M) error {
	body, err := tlcodec.Encode(v)
	if err != nil {
		return &Error{Peer: peer, Kind: kind, Failure: BadMessage, Message: err.Error()}
	}
	return m.send(ctx, peer, tlwire.Envelope{Kind: kind, Body: body})
}

func (m *Mesh) call(ctx context.Context, peer string, e tlwire.Envelope) (tlwire.Envelope, error) {
	if peer == m.o.Name {
		return m.handle(ctx, m.self(), e), nil
	}
	c, err := m.connect(ctx, peer, e.Kind)
	if err != nil {
		return tlwire.Envelope{}, err
	}
	return c.call(ctx, e)
}

func (m *Mesh) send(ctx context.Context, peer string, e tlwire.Envelope) error {
	if peer == m.o.Name {
		m.handle(ctx, m.self(), e)
		return nil
	}
	c, err := m.connect(ctx, peer, e.Kind)
	if err != nil {
		return err
	}
	return c.send(e)
}

func (m *Mesh) self() Peer {
	return Peer{Name: m.o.Name, Incarnation: m.o.Incarnation, DataCentre: m.o.DataCentre}
}
