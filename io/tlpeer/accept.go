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

// peerPath is the only path of the peer port.
const peerPath = "/peer"

var (
	errStranger  = errors.New("the peer has no valid token")
	errOtherName = errors.New("another instance answered at this address")
)

// accept takes a connection from a peer; strangers learn nothing but a refusal.
func (m *Mesh) accept(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != peerPath {
		m.count(countStranger)
		http.NotFound(w, r)
		return
	}
	select {
	case m.opening <- struct{}{}:
	default:
		m.count(countTooMany)
		http.Error(w, "too many connections are opening", http.StatusServiceUnavailable)
		return
	}
	c, err := m.open(w, r)
	<-m.opening
	if err != nil {
		return
	}
	m.count(countAccepted)
	m.run(c)
}

func (m *Mesh) open(w http.ResponseWriter, r *http.Request) (*connection, error) {
	s, err := websocket.Accept(w, r, nil)
	if err != nil {
		m.count(countStranger)
		return nil, err
	}
	ctx, cancel := context.WithTimeout(m.ctx, helloTimeout)
	defer cancel()
	p, err := m.welcome(ctx, s)
	if err != nil {
		m.count(countStranger)
		_ = s.Close(websocket.StatusPolicyViolation, "refused")
		return nil, err
	}
	return newConnection(m, p, s), nil
}

// greet sends the hello first, as the side that dials.
func (m *Mesh) greet(ctx context.Context, s *websocket.Conn, name string) (Peer, error) {
	if err := m.sendHello(ctx, s); err != nil {
		return Peer{}, err
	}
	p, err := m.readHello(ctx, s)
	if err == nil && p.Name != name {
		return Peer{}, errOtherName
	}
	return p, err
}

// welcome answers a hello once it is seen to come from one of us.
func (m *Mesh) welcome(ctx context.Context, s *websocket.Conn) (Peer, error) {
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
		m.count(countGarbage)
		return Peer{}, err
	}
	if m.o.Token != "" && subtle.ConstantTimeCompare([]byte(h.Token), []byte(m.o.Token)) != 1 {
		return Peer{}, errStranger
	}
	if h.Name == "" || h.Name == m.o.Name {
		return Peer{}, errStranger
	}
	return Peer{Name: h.Name, Incarnation: h.Incarnation, DataCentre: h.DataCentre}, nil
}

// quiet drops net/http's own lines, since every refusal has its counter.
func quiet() *log.Logger {
	return log.New(io.Discard, "", 0)
}
