package tlmemory

import "net/netip"

const (
	// smallBytes is the size up to which a request is small. Half of the usual bodies are,
	// and small ones are granted while large ones are refused.
	smallBytes = 64 << 10
	// freeBytes need no grant: they are part of what a connection is counted with.
	freeBytes = 4 << 10
)

// Kind is what bytes are held for.
type Kind int

// The kinds of bytes.
const (
	Body Kind = iota
	Answer
	Event
	kinds
)

// Holder is what one request holds.
type Holder struct {
	address netip.Addr
	held    [kinds]int64
	isEnded bool
}

func (h *Holder) total() int64 {
	sum := int64(0)
	for _, n := range h.held {
		sum += n
	}
	return sum
}

// account sums what requests hold, and what large ones do of it.
type account struct {
	all, large int64
}

func (a *account) add(n int64, sign int64) {
	if n <= freeBytes {
		return
	}
	a.all += sign * n
	if n > smallBytes {
		a.large += sign * n
	}
}

// Bytes grants bytes to requests. Large requests may have three quarters of all, those of
// one address five eighths; one address may have seven eighths. So small requests find
// room among large ones of the same address, and other addresses beside one that takes
// all it may.
type Bytes struct {
	limit     int64
	all       account
	addresses map[netip.Addr]*account
	held      [kinds]int64
}

// NewBytes returns a Bytes that grants up to limit bytes.
func NewBytes(limit int64) *Bytes {
	return &Bytes{limit: limit, addresses: map[netip.Addr]*account{}}
}

// Begin returns the holder of a new request from an address.
func (b *Bytes) Begin(a netip.Addr) *Holder {
	return &Holder{address: a}
}

// Add makes a request hold n bytes more of a kind, or less, and reports whether it may.
// To hold less is always granted; a request that has ended is granted nothing.
func (b *Bytes) Add(h *Holder, k Kind, n int64) bool {
	if h.isEnded {
		return false
	}
	n = max(n, -h.held[k])
	before := h.total()
	after := before + n
	a := b.addresses[h.address]
	if a == nil {
		a = &account{}
	}
	all, one := b.all, *a
	all.add(before, -1)
	all.add(after, 1)
	one.add(before, -1)
	one.add(after, 1)
	if n > 0 && after > freeBytes && !b.allows(all, one, after) {
		return false
	}
	b.all, *a = all, one
	b.addresses[h.address] = a
	if a.all == 0 {
		delete(b.addresses, h.address)
	}
	b.held[k] += n
	h.held[k] += n
	return true
}

func (b *Bytes) allows(all, one account, n int64) bool {
	if all.all > b.limit || one.all > b.limit/8*7 {
		return false
	}
	return n <= smallBytes || all.large <= b.limit/4*3 && one.large <= b.limit/8*5
}

// End frees all that a request holds.
func (b *Bytes) End(h *Holder) {
	for k := range kinds {
		b.Add(h, k, -h.held[k])
	}
	h.isEnded = true
}

// Held returns the bytes held of each kind.
func (b *Bytes) Held() (body, answer, event int64) {
	return b.held[Body], b.held[Answer], b.held[Event]
}
