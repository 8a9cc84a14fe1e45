package tlpeer

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/coder/websocket"
)

// helloTimeout bounds everything up to the exchange of hellos.
const helloTimeout = 2 * time.Second

// connect returns an open connection to a peer, dialling where there is none.
func (m *Mesh) connect(ctx context.Context, peer, kind string) (*connection, error) {
	l := m.known(peer)
	if l == nil {
		return nil, &Error{Peer: peer, Kind: kind, Failure: UnknownPeer, Message: "it is not in the instance list"}
	}
	if !m.enter() {
		return nil, &Error{Peer: peer, Kind: kind, Failure: Unreachable, Message: "the mesh is closed"}
	}
	defer m.running.Done()
	for range 2 {
		c, wait, err := m.attempt(l)
		if c != nil {
			return c, nil
		}
		if err != "" {
			return nil, &Error{Peer: peer, Kind: kind, Failure: Unreachable, Message: err}
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return nil, &Error{Peer: peer, Kind: kind, Failure: Unreachable, Message: ctx.Err().Error()}
		}
	}
	return nil, &Error{Peer: peer, Kind: kind, Failure: Unreachable, Message: "no connection could be made"}
}

// attempt returns the open connection, or a channel that is closed when a dial
// has ended, or why there is none.
func (m *Mesh) attempt(l *link) (*connection, <-chan struct{}, string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current != nil && l.current.isOpen() {
		return l.current, nil, ""
	}
	if l.dialling != nil {
		return nil, l.dialling, ""
	}
	if !l.address.IsValid() {
		return nil, nil, "its address is not known"
	}
	if m.now().Before(l.notTill) {
		return nil, nil, "the last dial failed a moment ago"
	}
	l.dialling = make(chan struct{})
	address, ended := l.address, l.dialling
	m.running.Go(func() { m.dialInto(l, address, ended) })
	return nil, l.dialling, ""
}

func (m *Mesh) dialInto(l *link, a netip.AddrPort, ended chan struct{}) {
	c, err := m.dial(l.name, a)
	if err != nil {
		m.count(countDialFailed)
		l.failed(m.now(), rand.Float64())
		m.unreachable(l.name)
	} else {
		m.count(countDialled)
		if old := l.use(c); old != nil {
			m.count(countReplaced)
			old.close()
		}
	}
	l.mu.Lock()
	l.dialling = nil
	l.mu.Unlock()
	close(ended)
	if err == nil {
		m.run(c)
	}
}

func (m *Mesh) dial(name string, a netip.AddrPort) (*connection, error) {
	ctx, cancel := context.WithTimeout(m.ctx, helloTimeout)
	defer cancel()
	t := &http.Transport{DialContext: (&net.Dialer{}).DialContext, DisableKeepAlives: true}
	defer t.CloseIdleConnections()
	scheme := "ws://"
	if m.o.Credentials != nil {
		t.TLSClientConfig, scheme = m.o.Credentials.client(), "wss://"
	}
	s, r, err := websocket.Dial(ctx, scheme+a.String()+peerPath, &websocket.DialOptions{HTTPClient: &http.Client{Transport: t}})
	if err != nil {
		return nil, err
	}
	if r.Body != nil {
		_ = r.Body.Close()
	}
	p, err := m.greet(ctx, s, name)
	if err != nil {
		_ = s.CloseNow()
		return nil, err
	}
	return newConnection(m, p, s), nil
}
