package tlpeer

import (
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"
)

// Options is what a mesh is made of.
type Options struct {
	// Name is the instance's name.
	Name string
	// Incarnation rises with each start of the instance.
	Incarnation uint64
	// DataCentre is where the instance stands.
	DataCentre string
	// Listen is the address for other instances; port 0 takes a free one.
	Listen netip.AddrPort
	// Token must come with every connection when it is set.
	Token string
	// Credentials turns on mutual TLS when it is set.
	Credentials *Credentials
	// Heartbeat is the time between messages on a quiet connection.
	Heartbeat time.Duration
	// SuspectAfter is the silence after which a connection is given up.
	SuspectAfter time.Duration
	// Idle is the time without use after which a connection is closed.
	Idle time.Duration
	// Now is the clock.
	Now func() time.Time
	// Log takes changes of state.
	Log *logrus.Entry
	// Add raises the counter of a reason in CounterNames by n.
	Add func(reason string, n int64)
}
