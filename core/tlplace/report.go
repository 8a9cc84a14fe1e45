package tlplace

import "time"

// reportLag is how old an engine's report of its load may be.
const reportLag = 1500 * time.Millisecond

// MemoryReported takes in the memory that an engine says is held. What exceeds all
// places that this book has or had there within the report's lag belongs to
// requests that it does not know: those of a home before, or of instances that
// lost power and whose connections the engine still has.
func (b *Book) MemoryReported(now time.Time, id string, held int) {
	e := b.engines[id]
	if e == nil {
		return
	}
	known := e.booked
	keep := e.left[:0]
	for _, l := range e.left {
		if now.Sub(l.at) > reportLag {
			continue
		}
		known += l.tokens
		keep = append(keep, l)
	}
	e.left = keep
	e.reported = max(held-known, 0)
	e.foreign = e.reported
	e.reportedAt = now
}

// fade lets what was reported as held by others go over the life of a place.
func (b *Book) fade(now time.Time) {
	for _, e := range b.order {
		if e.foreign == 0 {
			continue
		}
		left := 1 - float64(now.Sub(e.reportedAt))/float64(b.life)
		e.foreign = max(int(float64(e.reported)*left), 0)
	}
}
