package tlmodel

import (
	"slices"
	"time"
)

// Link shares its rate evenly between the transfers that use it.
type Link struct {
	clock     *Clock
	rate      float64
	stalled   bool
	transfers []*Transfer
	updated   time.Time
	epoch     uint64
}

// Transfer is one KV cache on its way.
type Transfer struct {
	total float64
	left  float64
	done  func()
}

// NewLink returns an idle link of a rate in bytes a second.
func NewLink(c *Clock, bytesPerSecond int64) *Link {
	return &Link{clock: c, rate: float64(bytesPerSecond), updated: c.Now()}
}

// Start moves so many bytes and calls done when they have arrived.
func (l *Link) Start(bytes int64, done func()) *Transfer {
	l.advance()
	t := &Transfer{total: float64(bytes), left: float64(bytes), done: done}
	l.transfers = append(l.transfers, t)
	l.plan()
	return t
}

// Cancel takes a transfer off the link.
func (l *Link) Cancel(t *Transfer) {
	l.advance()
	l.transfers = slices.DeleteFunc(l.transfers, func(o *Transfer) bool { return o == t })
	l.plan()
}

// SetStalled stops the link or lets it go on.
func (l *Link) SetStalled(s bool) {
	l.advance()
	l.stalled = s
	l.plan()
}

// Stalled says that nothing moves.
func (l *Link) Stalled() bool {
	return l.stalled
}

// Moved returns how many bytes of a transfer have arrived.
func (l *Link) Moved(t *Transfer) float64 {
	l.advance()
	return t.total - t.left
}

// Backlog returns how long the transfers on the link will take.
func (l *Link) Backlog() time.Duration {
	l.advance()
	sum := 0.0
	for _, t := range l.transfers {
		sum += t.left
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
		t.left = max(0, t.left-share)
	}
}

func (l *Link) plan() {
	l.epoch++
	if l.stalled || len(l.transfers) == 0 {
		return
	}
	least := l.transfers[0]
	for _, t := range l.transfers {
		if t.left < least.left {
			least = t
		}
	}
	epoch := l.epoch
	d := seconds(least.left * float64(len(l.transfers)) / l.rate)
	l.clock.After(d+1, func() { l.arrive(epoch) })
}

func (l *Link) arrive(epoch uint64) {
	if epoch != l.epoch {
		return
	}
	l.advance()
	var done []*Transfer
	l.transfers = slices.DeleteFunc(l.transfers, func(t *Transfer) bool {
		if t.left < 1 {
			done = append(done, t)
			return true
		}
		return false
	})
	l.plan()
	for _, t := range done {
		t.done()
	}
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
