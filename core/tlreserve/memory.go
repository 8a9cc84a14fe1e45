package tlreserve

// Memory records how many pieces of one engine's memory each attempt has reserved.
type Memory struct {
	total        int
	usedByOthers int
	reserved     int
	reservations map[string]int
}

// New returns a Memory of the given number of pieces.
func New(total int) *Memory {
	return &Memory{total: total, reservations: make(map[string]int)}
}

// Reserve reserves free pieces for an attempt and reports whether it did; it refuses an attempt that has a reservation.
func (m *Memory) Reserve(attempt string, pieces int) bool {
	if _, ok := m.reservations[attempt]; ok || pieces <= 0 || pieces > m.Free() {
		return false
	}
	m.reservations[attempt] = pieces
	m.reserved += pieces
	return true
}

// Grow raises an attempt's reservation to the given number of pieces, even beyond the engine's memory.
func (m *Memory) Grow(attempt string, pieces int) {
	n, ok := m.reservations[attempt]
	if !ok || pieces <= n {
		return
	}
	m.reservations[attempt] = pieces
	m.reserved += pieces - n
}

// Release frees an attempt's reservation and returns its number of pieces.
func (m *Memory) Release(attempt string) int {
	n := m.reservations[attempt]
	delete(m.reservations, attempt)
	m.reserved -= n
	return n
}

// Resize sets the engine's memory, in pieces.
func (m *Memory) Resize(total int) {
	m.total = total
}

// SetUsedByOthers sets the estimated number of pieces used by requests that have no reservation here.
func (m *Memory) SetUsedByOthers(pieces int) {
	m.usedByOthers = max(pieces, 0)
}

// UsedByOthers returns the estimated number of pieces used by requests that have no reservation here.
func (m *Memory) UsedByOthers() int {
	return m.usedByOthers
}

// Total returns the engine's memory, in pieces.
func (m *Memory) Total() int {
	return m.total
}

// Reserved returns the number of pieces that attempts have reserved.
func (m *Memory) Reserved() int {
	return m.reserved
}

// Free returns the number of pieces neither reserved nor used by others; it is negative when answers have outgrown the memory.
func (m *Memory) Free() int {
	return m.total - m.usedByOthers - m.reserved
}

// Attempts returns the number of attempts that have a reservation.
func (m *Memory) Attempts() int {
	return len(m.reservations)
}
