package tlpeer

import (
	"context"
	"crypto/subtle"
	"errors"
	"io"
	"log"
	"net/http"

	"github.com/coder/websocket"

	"trefoillanding/core/tlcodec"
	"trefoillanding/core/tlwire"
)

// peerPath is the path of connections for messages.
const peerPath = "/peer"

var (
	errUnauthenticated = errors.New("the peer could not be authenticated")
	errNameMismatch    = errors.New("another instance answered at this address")
)

// accept upgrades a request to a peer connection and serves it; clients that
// fail authentication get a refusal without a reason.
func (m *Mesh) accept(w http.ResponseWriter, r *http.Request) {
	if h := m.handlersByPath[r.URL.Path]; h != nil {
		h.ServeHTTP(w, r)
		return
	}
	if r.URL.Path != peerPath {
		m.count(countPeerRefused)
		http.NotFound(w, r)
		return
	}
	select {
	case m.handshakes <- struct{}{}:
	default:
		m.count(countTooManyOpening)
		http.Error(w, "too many handshakes in progress", http.StatusServiceUnavailable)
		return
	}
	c, err := m.handshake(w, r)
	<-m.handshakes
	if err != nil {
		return
	}
	m.count(countAccepted)
	m.run(c)
}

func (m *Mesh) handshake(w http.ResponseWriter, r *http.Request) (*connection, error) {
	s, err := websocket.Accept(w, r, nil)
	if err != nil {
		m.count(countPeerRefused)
		return nil, err
	}
	ctx, cancel := context.WithTimeout(m.ctx, handshakeTimeout)
	defer cancel()
	p, err := m.answerHello(ctx, s)
	if err != nil {
		m.count(countPeerRefused)
		_ = s.Close(websocket.StatusPolicyViolation, "refused")
		return nil, err
	}
	return newConnection(m, p, s), nil
}

// exchangeHellos does the dialling side's handshake: it sends its hello first
// and fails if an instance other than name answers.
func (m *Mesh) exchangeHellos(ctx context.Context, s *websocket.Conn, name string) (Peer, error) {
	if err := m.sendHello(ctx, s); err != nil {
		return Peer{}, err
	}
	p, err := m.readHello(ctx, s)
	if err == nil && p.Name != name {
		return Peer{}, errNameMismatch
	}
	return p, err
}

// answerHello does the accepting side's handshake: it answers a hello only after
// it has verified that it comes from another of our instances.
func (m *Mesh) answerHello(ctx context.Context, s *websocket.Conn) (Peer, error) {
	p, err := m.readHello(ctx, s)
	if err != nil {
		return Peer{}, err
	}
	return p, m.sendHello(ctx, s)
}

func (m *Mesh) sendHello(ctx context.Context, s *websocket.Conn) error {
	data, err := tlcodec.Encode(tlwire.Hello{
		Name:        m.o.Name,
		Incarnation: m.o.Incarnation,
		DataCentre:  m.o.DataCentre,
		Token:       m.o.Token,
	})
	if err != nil {
		return err
	}
	return s.Write(ctx, websocket.MessageBinary, data)
}

func (m *Mesh) readHello(ctx context.Context, s *websocket.Conn) (Peer, error) {
	s.SetReadLimit(maxHelloBytes)
	_, data, err := s.Read(ctx)
	if err != nil {
		return Peer{}, err
	}
	h, err := tlcodec.Decode[tlwire.Hello](data)
	if err != nil {
		m.count(countMalformedFrame)
		return Peer{}, err
	}
	if m.o.Token != "" && subtle.ConstantTimeCompare([]byte(h.Token), []byte(m.o.Token)) != 1 {
		return Peer{}, errUnauthenticated
	}
	if h.Name == "" || h.Name == m.o.Name {
		return Peer{}, errUnauthenticated
	}
	return Peer{Name: h.Name, Incarnation: h.Incarnation, DataCentre: h.DataCentre}, nil
}

// newDiscardLogger returns a logger that drops net/http's own log lines, since
// every refusal is counted.
func newDiscardLogger() *log.Logger {
	return log.New(io.Discard, "", 0)
}
