package tlpeer

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/coder/websocket"

	"trefoillanding/io/tlanswer"
)

// handshakeTimeout bounds the time from the dial, or from accepting, until the
// hellos are exchanged.
const handshakeTimeout = 2 * time.Second

// connect returns an open connection to a peer, dialling if there is none; it
// waits for a dial in progress until ctx ends.
func (m *Mesh) connect(ctx context.Context, peer, kind string) (*connection, error) {
	l := m.findLink(peer)
	if l == nil {
		return nil, &Error{Peer: peer, Kind: kind, Failure: UnknownPeer, Message: "it is not in the instance list"}
	}
	if !m.beginWork() {
		return nil, &Error{Peer: peer, Kind: kind, Failure: Unreachable, Message: "the mesh is closed"}
	}
	defer m.running.Done()
	for range 2 {
		c, wait, err := m.currentOrDial(l)
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

// currentOrDial returns the open connection, or a channel that is closed when the
// dial in progress ends, or the reason why no dial can be started.
func (m *Mesh) currentOrDial(l *link) (*connection, <-chan struct{}, string) {
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
	if m.now().Before(l.noDialBefore) {
		return nil, nil, "backing off after a failed dial"
	}
	l.dialling = make(chan struct{})
	address, ended := l.address, l.dialling
	m.running.Go(func() { m.runDial(l, address, ended) })
	return nil, l.dialling, ""
}

func (m *Mesh) runDial(l *link, a netip.AddrPort, ended chan struct{}) {
	c, err := m.dial(l.name, a)
	if err != nil {
		m.count(countDialFailed)
		l.recordDialFailure(m.now(), rand.Float64())
		m.onUnreachable(l.name)
	} else {
		m.count(countDialled)
		if old := l.adopt(c); old != nil {
			m.count(countConnectionReplaced)
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
	ctx, cancel := context.WithTimeout(m.ctx, handshakeTimeout)
	defer cancel()
	t := &http.Transport{DialContext: (&net.Dialer{}).DialContext, DisableKeepAlives: true, MaxResponseHeaderBytes: maxHandshakeBytes}
	defer t.CloseIdleConnections()
	scheme := "ws://"
	if m.o.Credentials != nil {
		t.TLSClientConfig, scheme = m.o.Credentials.client(), "wss://"
	}
	s, r, err := websocket.Dial(ctx, scheme+a.String()+peerPath, &websocket.DialOptions{HTTPClient: &http.Client{Transport: tlanswer.New(t)}})
	if err != nil {
		return nil, err
	}
	if r.Body != nil {
		_ = r.Body.Close()
	}
	p, err := m.exchangeHellos(ctx, s, name)
	if err != nil {
		_ = s.CloseNow()
		return nil, err
	}
	return newConnection(m, p, s), nil
}
