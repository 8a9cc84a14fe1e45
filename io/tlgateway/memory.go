package tlgateway

import (
	"net/netip"
	"sync"
	"time"

	"trefoillanding/core/tlmemory"
)

// BodyLimits are the limits on the time in which a body arrives.
type BodyLimits struct {
	// Timeout bounds the time for the whole body.
	Timeout time.Duration
	// Rate is the rate in bytes per second that a body must keep; 0 is none.
	Rate int64
}

// Memory bounds what the requests of an instance hold. It is safe for concurrent use; a nil
// Memory bounds nothing.
type Memory struct {
	limits BodyLimits

	mu    sync.Mutex
	bytes *tlmemory.Bytes
}

// NewMemory returns a Memory that grants up to n bytes.
func NewMemory(n int64, l BodyLimits) *Memory {
	return &Memory{limits: l, bytes: tlmemory.NewBytes(n)}
}

// Held returns the bytes that requests hold of each kind.
func (m *Memory) Held() (body, answer, event int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.bytes.Held()
}

// begin returns the holding of a new request from an address with a port.
func (m *Memory) begin(remote string) holding {
	if m == nil {
		return holding{}
	}
	a, _ := netip.ParseAddrPort(remote)
	m.mu.Lock()
	defer m.mu.Unlock()
	return holding{m, m.bytes.Begin(a.Addr().Unmap())}
}

// reception returns until when parts of a body that is awaited from now on must arrive.
func (m *Memory) reception(now time.Time) tlmemory.Reception {
	if m == nil {
		return tlmemory.Reception{Began: now, Timeout: maxRequestTime}
	}
	return tlmemory.Reception{Began: now, Timeout: m.limits.Timeout, Rate: m.limits.Rate}
}

// holding is what one request holds.
type holding struct {
	m *Memory
	h *tlmemory.Holder
}

// add holds n bytes more of a kind, or less; it reports whether there is room.
func (h holding) add(k tlmemory.Kind, n int64) bool {
	if h.m == nil {
		return true
	}
	h.m.mu.Lock()
	defer h.m.mu.Unlock()
	return h.m.bytes.Add(h.h, k, n)
}

// end frees all that the request holds.
func (h holding) end() {
	if h.m == nil {
		return
	}
	h.m.mu.Lock()
	defer h.m.mu.Unlock()
	h.m.bytes.End(h.h)
}
