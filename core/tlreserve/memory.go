package tlreserve

// Memory says which attempt holds how many pieces of one engine.
type Memory struct {
	total   int
	foreign int
	held    int
	holds   map[string]int
}

// New returns the book of an engine with so many pieces.
func New(total int) *Memory {
	return &Memory{total: total, holds: make(map[string]int)}
}

// Hold gives free pieces to an attempt that holds none, and says whether it could.
func (m *Memory) Hold(attempt string, pieces int) bool {
	if _, ok := m.holds[attempt]; ok || pieces <= 0 || pieces > m.Free() {
		return false
	}
	m.holds[attempt] = pieces
	m.held += pieces
	return true
}

// Grow raises what an attempt holds to so many pieces, also past the engine's memory.
func (m *Memory) Grow(attempt string, pieces int) {
	n, ok := m.holds[attempt]
	if !ok || pieces <= n {
		return
	}
	m.holds[attempt] = pieces
	m.held += pieces - n
}

// Release frees what an attempt holds and returns how much that was.
func (m *Memory) Release(attempt string) int {
	n := m.holds[attempt]
	delete(m.holds, attempt)
	m.held -= n
	return n
}

// Resize sets the engine's memory.
func (m *Memory) Resize(total int) {
	m.total = total
}

// SetForeign sets how many pieces are held by others, as far as is known.
func (m *Memory) SetForeign(pieces int) {
	m.foreign = max(pieces, 0)
}

// Foreign returns how many pieces are held by others.
func (m *Memory) Foreign() int {
	return m.foreign
}

// Total returns the engine's memory.
func (m *Memory) Total() int {
	return m.total
}

// Reserved returns how many pieces attempts hold.
func (m *Memory) Reserved() int {
	return m.held
}

// Free returns the pieces that nobody holds; it is below zero when answers outgrew the memory.
func (m *Memory) Free() int {
	return m.total - m.foreign - m.held
}

// Attempts counts the attempts that hold something.
func (m *Memory) Attempts() int {
	return len(m.holds)
}
