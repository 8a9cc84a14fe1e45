package tlmemory

import (
	"net/netip"
	"time"
)

// slowAfter is the time after which a connection whose other side still sends its request,
// or has read nothing of its answer, is closed before idle ones are, if room is needed.
// Usual callers send and read at once.
const slowAfter = time.Second

// State is what a connection is doing.
type State int

// The states of a connection.
const (
	// Receiving is a connection whose request is not complete, or has not begun.
	Receiving State = iota
	// Idle is a connection between two requests.
	Idle
	// Busy is a connection whose request is being served.
	Busy
	// Unread is a connection whose answer the other side does not read.
	Unread
	states
)

// connection is an accepted connection.
type connection struct {
	address netip.Addr
	state   State
	since   time.Time
}

// Connections bounds the connections of one kind of address. Where there is no room, the
// connection is closed whose answer is unread or whose request is incomplete for longest,
// more than slowAfter; else the one that was idle for longest; else the oldest of the former
// ones. It is one of the address with the most of those. A busy one is never closed: its
// caller waits for the answer. One address may have three quarters of all.
type Connections struct {
	limit     int
	list      map[uint64]*connection
	addresses map[netip.Addr]int
	counts    [states]int
	last      uint64
}

// NewConnections returns a Connections without connections.
func NewConnections(limit int) *Connections {
	return &Connections{limit: limit, list: map[uint64]*connection{}, addresses: map[netip.Addr]int{}}
}

// Accepted is the decision on a new connection.
type Accepted struct {
	// ID identifies the connection; 0 if it is refused.
	ID uint64
	// Victim is the connection that is to be closed for it, and no longer counts; 0 if none.
	Victim uint64
}

// Accept decides on a new connection.
func (c *Connections) Accept(now time.Time, a netip.Addr) Accepted {
	var d Accepted
	switch {
	case c.addresses[a] >= c.limit-c.limit/4:
		d.Victim = c.victim(now, a)
	case len(c.list) >= c.limit:
		d.Victim = c.victim(now, c.largest())
	}
	isFull := len(c.list) >= c.limit || c.addresses[a] >= c.limit-c.limit/4
	if isFull && d.Victim == 0 {
		return d
	}
	c.Close(d.Victim)
	c.last++
	d.ID = c.last
	c.list[d.ID] = &connection{address: a, since: now}
	c.addresses[a]++
	c.counts[Receiving]++
	return d
}

// largest returns the address with the most connections that may be closed.
func (c *Connections) largest() netip.Addr {
	var best netip.Addr
	closable := map[netip.Addr]int{}
	for _, k := range c.list {
		if k.state == Busy {
			continue
		}
		closable[k.address]++
		n, m := closable[k.address], closable[best]
		if n > m || n == m && k.address.Less(best) {
			best = k.address
		}
	}
	return best
}

// victim returns the connection of an address that is to be closed; 0 if there is none.
func (c *Connections) victim(now time.Time, a netip.Addr) uint64 {
	best, bestClass := uint64(0), 0
	for id, k := range c.list {
		if k.address != a || k.state == Busy {
			continue
		}
		class := k.class(now)
		isFirst := best == 0 || class < bestClass
		if !isFirst && class == bestClass {
			b := c.list[best]
			isFirst = k.since.Before(b.since) || k.since.Equal(b.since) && id < best
		}
		if isFirst {
			best, bestClass = id, class
		}
	}
	return best
}

// class returns the place of a connection in the order in which connections are closed.
func (k *connection) class(now time.Time) int {
	switch {
	case k.state != Idle && now.Sub(k.since) >= slowAfter:
		return 0
	case k.state == Idle:
		return 1
	}
	return 2
}

// SetState notes what a connection does. A request's time to arrive begins with the
// connection or with the first byte after an idle time.
func (c *Connections) SetState(now time.Time, id uint64, s State) {
	k := c.list[id]
	if k == nil || k.state == s {
		return
	}
	c.counts[k.state]--
	c.counts[s]++
	k.state, k.since = s, now
}

// Close removes a connection; it may have been removed before.
func (c *Connections) Close(id uint64) {
	k := c.list[id]
	if k == nil {
		return
	}
	delete(c.list, id)
	c.counts[k.state]--
	c.addresses[k.address]--
	if c.addresses[k.address] == 0 {
		delete(c.addresses, k.address)
	}
}

// Counts returns the number of connections in each state.
func (c *Connections) Counts() (receiving, idle, busy, unread int) {
	return c.counts[Receiving], c.counts[Idle], c.counts[Busy], c.counts[Unread]
}
