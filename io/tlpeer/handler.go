package tlpeer

import (
	"context"
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"trefoillanding/core/tlcodec"
	"trefoillanding/core/tlverdict"
	"trefoillanding/core/tlwire"
)

// Peer is the instance at the other end of a connection.
type Peer struct {
	Name        string
	Incarnation uint64
	DataCentre  string
}

type handler func(ctx context.Context, from Peer, body cbor.RawMessage) (cbor.RawMessage, error)

var errBadBody = errors.New("the message can't be decoded")

// Handle registers the handler for calls and messages of a kind; it must be
// called before Start.
func Handle[Req, Res any](m *Mesh, kind string, f func(context.Context, Peer, Req) (Res, error)) {
	m.handlers[kind] = func(ctx context.Context, from Peer, body cbor.RawMessage) (cbor.RawMessage, error) {
		q, err := tlcodec.Decode[Req](body)
		if err != nil {
			m.count(countBadBody)
			return nil, fmt.Errorf("%w: %w", errBadBody, err)
		}
		a, err := f(ctx, from, q)
		if err != nil {
			return nil, err
		}
		return tlcodec.Encode(a)
	}
}

// handle runs the handler of a frame and returns the answer to send; a panic in the
// handler is logged and answered as an error.
func (m *Mesh) handle(ctx context.Context, from Peer, e tlwire.Envelope) (a tlwire.Envelope) {
	a = tlwire.Envelope{Kind: e.Kind, Call: e.Call, IsAnswer: true, Body: cborNull}
	defer func() {
		if r := recover(); r != nil {
			m.count(countHandlerPanic)
			m.o.Log.WithField("Kind", e.Kind).Errorf("handler panicked: %v", r)
			a.Error = "the handler panicked"
		}
	}()
	h, ok := m.handlers[e.Kind]
	if !ok {
		m.count(countUnknownKind)
		a.Error = "unknown kind of message"
		return a
	}
	body, err := h(ctx, from, e.Body)
	if err != nil {
		return errorAnswer(a, err)
	}
	a.Body = body
	return a
}

// cborNull is the CBOR null that stands for an answer without a body.
var cborNull = cbor.RawMessage{0xf6}

func errorAnswer(a tlwire.Envelope, err error) tlwire.Envelope {
	a.Error = err.Error()
	var v *tlverdict.Error
	if errors.As(err, &v) {
		a.Error, a.Reason, a.RetryAfter = v.Message, string(v.Reason), v.RetryAfter
	}
	return a
}
