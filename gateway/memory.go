package gateway

import (
	"context"
	"math"
	"net"
	"time"

	"golang.org/x/sys/unix"

	"trefoillanding/core/tlmemory"
	"trefoillanding/io/tlgateway"
)

// pools has the connections accepted on each kind of address.
type pools struct {
	callers, peers, lookups *pool
}

// MemoryStatus is what the instance holds for callers, endpoints and other instances.
type MemoryStatus struct {
	// Limit bounds the sum of Bodies, Answers and Events, in bytes.
	Limit                   int64
	Bodies, Answers, Events int64
	// Connections has the connections on each kind of address.
	Connections map[string]ConnectionStatus
}

// planMemory divides the memory and the descriptors of the instance.
func (i *Instance) planMemory() {
	g := i.settings.Gateway
	p := tlmemory.NewPlan(g.MemoryBytes, descriptors(g.Descriptors))
	i.memory = tlgateway.NewMemory(p.Bytes, tlgateway.BodyLimits{Timeout: g.BodyTimeout, Rate: g.BodyRate})
	i.pools = pools{
		callers: i.newPool("Callers", p.Callers, p.SocketBytes),
		peers:   i.newPool("Peers", p.Peers, p.SocketBytes),
		lookups: i.newPool("Lookups", p.Lookups, p.SocketBytes),
	}
	i.metrics.Gauge("Memory", func() any { return i.memoryStatus(p.Bytes) })
}

func (i *Instance) newPool(name string, limit, socketBytes int) *pool {
	return &pool{
		name:        name,
		socketBytes: socketBytes,
		stall:       i.settings.Gateway.AnswerStall,
		count:       i.counters.connections.Count,
		log:         i.log,
		rules:       tlmemory.NewConnections(limit),
		open:        map[uint64]*countedConn{},
		loggedAt:    map[string]time.Time{},
	}
}

func (i *Instance) memoryStatus(limit int64) MemoryStatus {
	s := MemoryStatus{Limit: limit, Connections: map[string]ConnectionStatus{}}
	s.Bodies, s.Answers, s.Events = i.memory.Held()
	for _, p := range []*pool{i.pools.callers, i.pools.peers, i.pools.lookups} {
		s.Connections[p.name] = p.status()
	}
	return s
}

// descriptors returns how many files and connections the process may have open, where the
// settings don't say less.
func descriptors(setting int) int {
	var l unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &l); err == nil && l.Cur < math.MaxInt32 && (setting == 0 || int(l.Cur) < setting) {
		return int(l.Cur)
	}
	if setting == 0 {
		return math.MaxInt32
	}
	return setting
}

// limitSockets bounds what the system receives on connections to endpoints ahead of the
// instance. What it sends ahead of an endpoint is counted with the body.
func (i *Instance) limitSockets(dial dialFunc) dialFunc {
	bytes := i.pools.callers.socketBytes
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if k, ok := c.(*net.TCPConn); ok && err == nil {
			_ = k.SetReadBuffer(bytes)
		}
		return c, err
	}
}
