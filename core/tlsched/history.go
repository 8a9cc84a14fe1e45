package tlsched

import "time"

const (
	historySlots = 4
	historySlot  = time.Second
)

// history remembers the most that an engine held for us in the last seconds, to
// tell what others hold from a load report of unknown age.
type history struct {
	most  [historySlots]int
	until time.Time
}

func (h *history) note(now time.Time, held int) {
	if h.until.IsZero() {
		h.until = now.Add(historySlot)
	}
	for n := 0; !now.Before(h.until) && n < historySlots; n++ {
		copy(h.most[1:], h.most[:])
		h.most[0] = held
		h.until = h.until.Add(historySlot)
	}
	if !now.Before(h.until) {
		h.until = now.Add(historySlot)
	}
	h.most[0] = max(h.most[0], held)
}

func (h *history) max() int {
	m := 0
	for _, n := range h.most {
		m = max(m, n)
	}
	return m
}
