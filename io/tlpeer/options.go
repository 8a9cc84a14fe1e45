package tlpeer

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"
)

// Options configures a Mesh.
type Options struct {
	// Name is the instance's name.
	Name string
	// Incarnation increases with each start of the instance.
	Incarnation uint64
	// DataCentre is the data centre that the instance runs in.
	DataCentre string
	// Listen is the address to listen on for other instances; port 0 picks a free port.
	Listen netip.AddrPort
	// Token is the shared secret that every hello must carry; empty for none.
	Token string
	// Credentials enables mutual TLS; nil for plain connections.
	Credentials *Credentials
	// Heartbeat is the time between rounds of gossip, and the silence on a connection
	// after which the peer is pinged.
	Heartbeat time.Duration
	// SuspectAfter is the timeout of a ping, after which the connection is closed, of
	// a write, of a gossip message and of the queries about a suspected instance.
	SuspectAfter time.Duration
	// Idle is the time without use after which a connection is closed.
	Idle time.Duration
	// Wrap, if set, wraps the listener. ConnState and ConnContext, if set, are hooks of the
	// server, which get the connections of the wrapped listener.
	Wrap        func(net.Listener) net.Listener
	ConnState   func(net.Conn, http.ConnState)
	ConnContext func(context.Context, net.Conn) context.Context
	// Now is the clock.
	Now func() time.Time
	// Log receives the panics of handlers.
	Log *logrus.Entry
	// Add increases the counter named reason, one of CounterNames, by n.
	Add func(reason string, n int64)
}
