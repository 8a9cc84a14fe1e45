package tlmodel

import (
	"slices"
	"time"
)

// Link simulates a network link that divides its rate evenly between the
// transfers in flight.
type Link struct {
	clock     *Clock
	rate      float64
	stalled   bool
	transfers []*Transfer
	updated   time.Time
	epoch     uint64
}

// Transfer is one KV cache in flight.
type Transfer struct {
	total     float64
	remaining float64
	done      func()
}

// NewLink returns an idle link with the given rate in bytes per second.
func NewLink(c *Clock, bytesPerSecond int64) *Link {
	return &Link{clock: c, rate: float64(bytesPerSecond), updated: c.Now()}
}

// Start begins a transfer and calls done when all its bytes have arrived.
func (l *Link) Start(bytes int64, done func()) *Transfer {
	l.advance()
	t := &Transfer{total: float64(bytes), remaining: float64(bytes), done: done}
	l.transfers = append(l.transfers, t)
	l.scheduleArrival()
	return t
}

// Cancel removes a transfer from the link without calling its done function.
func (l *Link) Cancel(t *Transfer) {
	l.advance()
	l.transfers = slices.DeleteFunc(l.transfers, func(o *Transfer) bool { return o == t })
	l.scheduleArrival()
}

// SetStalled stalls the link or resumes it; transfers in flight are kept.
func (l *Link) SetStalled(s bool) {
	l.advance()
	l.stalled = s
	l.scheduleArrival()
}

// Stalled reports whether the link is stalled.
func (l *Link) Stalled() bool {
	return l.stalled
}

// Moved returns the number of bytes of a transfer that have arrived.
func (l *Link) Moved(t *Transfer) float64 {
	l.advance()
	return t.total - t.remaining
}

// Backlog returns how long the transfers in flight will take at the full rate.
func (l *Link) Backlog() time.Duration {
	l.advance()
	sum := 0.0
	for _, t := range l.transfers {
		sum += t.remaining
	}
	return seconds(sum / l.rate)
}

func (l *Link) advance() {
	now := l.clock.Now()
	d := now.Sub(l.updated).Seconds()
	l.updated = now
	if l.stalled || len(l.transfers) == 0 {
		return
	}
	share := d * l.rate / float64(len(l.transfers))
	for _, t := range l.transfers {
		t.remaining = max(0, t.remaining-share)
	}
}

func (l *Link) scheduleArrival() {
	l.epoch++
	if l.stalled || len(l.transfers) == 0 {
		return
	}
	least := l.transfers[0]
	for _, t := range l.transfers {
		if t.remaining < least.remaining {
			least = t
		}
	}
	epoch := l.epoch
	d := seconds(least.remaining * float64(len(l.transfers)) / l.rate)
	l.clock.After(d+1, func() { l.arrive(epoch) })
}

func (l *Link) arrive(epoch uint64) {
	if epoch != l.epoch {
		return
	}
	l.advance()
	var done []*Transfer
	l.transfers = slices.DeleteFunc(l.transfers, func(t *Transfer) bool {
		if t.remaining < 1 {
			done = append(done, t)
			return true
		}
		return false
	})
	l.scheduleArrival()
	for _, t := range done {
		t.done()
	}
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
