package tlsched

import "time"

const (
	historySlots      = 4
	historySlotLength = time.Second
)

// history keeps the peak number of pieces that an engine held for this scheduler in
// the last seconds. The age of a load report is unknown, so the peak is subtracted
// from the used memory it reports to find what others hold.
type history struct {
	peaks   [historySlots]int
	slotEnd time.Time
}

func (h *history) record(now time.Time, held int) {
	if h.slotEnd.IsZero() {
		h.slotEnd = now.Add(historySlotLength)
	}
	for n := 0; !now.Before(h.slotEnd) && n < historySlots; n++ {
		copy(h.peaks[1:], h.peaks[:])
		h.peaks[0] = held
		h.slotEnd = h.slotEnd.Add(historySlotLength)
	}
	if !now.Before(h.slotEnd) {
		h.slotEnd = now.Add(historySlotLength)
	}
	h.peaks[0] = max(h.peaks[0], held)
}

func (h *history) max() int {
	m := 0
	for _, n := range h.peaks {
		m = max(m, n)
	}
	return m
}
