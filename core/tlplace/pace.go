package tlplace

import (
	"time"

	"trefoillanding/core/tlpace"
)

// paceInterval is the time between updates of how the engines differ, which look at each.
const paceInterval = time.Second

// minPaceTokens is the least number of tokens of an answer, or of a prompt, that is
// measured: the time of fewer is mostly that of their way.
const minPaceTokens = 16

// paces is what is known of how the engines of a service differ in speed.
type paces struct {
	// reading and decoding compare the engines by their times for a token.
	reading, decoding tlpace.Service
	// isUneven is set while some engine generates measurably faster or slower than others.
	isUneven bool
	updated  time.Time
}

// Answer is what an owner measured of an answer, or of the part that came.
type Answer struct {
	// Tokens is the number of tokens after the first event, and Took the time in which
	// they came; 0 where that was not measured.
	Tokens int
	Took   time.Duration
}

// Measured takes in the speed of an answer at the engine where its request is booked. An
// answer that ends early is measured too: measuring only complete ones would leave out the
// slowest, which are cut.
func (b *Book) Measured(now time.Time, id string, a Answer) {
	k := b.bookings[id]
	if k == nil || a.Tokens < minPaceTokens || a.Took <= 0 {
		return
	}
	e := b.engines[k.Decode]
	if e == nil || k.beside == 0 {
		return
	}
	load := float64(k.beside)
	if !k.isFollowed {
		load = (load + float64(e.running)) / 2
	}
	b.paces.decoding.Add(now, &e.decoding, a.Took.Seconds()/float64(a.Tokens), load)
}

// measureReading takes in the time in which a prefill engine has read a prompt, without the
// time that it waited behind others.
func (b *Book) measureReading(now time.Time, e *engine, took time.Duration, k *Booking) {
	if k.isMeasured && k.prompt >= minPaceTokens {
		b.paces.reading.Add(now, &e.reading, took.Seconds()/float64(k.prompt), 0)
	}
}

// updatePaces compares the engines anew once a paceInterval.
func (b *Book) updatePaces(now time.Time) {
	if now.Sub(b.paces.updated) < paceInterval {
		return
	}
	b.paces.updated = now
	b.paces.isUneven = false
	for _, e := range b.order {
		e.decodeSlowness = b.paces.decoding.Ratio(now, &e.decoding)
		e.withheld = 0
		if e.decodeSlowness < 1 {
			e.withheld = int((1/e.decodeSlowness - 1) * b.rates.Prompt.Value())
		}
		b.paces.isUneven = b.paces.isUneven || e.decodeSlowness != 1
	}
}

// readAt returns when a prefill engine is expected to have read a request's prompt.
func (b *Book) readAt(now time.Time, r *Request, e *engine) time.Time {
	return later(now, e.freeAt).Add(b.prefillTime(r.Prompt, e.slowness))
}

// The margins by which the time left for an answer exceeds its expected duration, in order
// of preference: the expected length is right in the median and often far off.
const (
	amplyInTime = iota
	wellInTime
	justInTime
	tooLate
	// riskyMargin is added for an engine that lost too many answers.
	riskyMargin
)

const (
	// ampleFactor and goodFactor are how many times the expected duration has to fit into
	// the time left for the first two margins.
	ampleFactor = 3
	goodFactor  = 2
)

// margin returns by how much an answer that begins at a time would be in time at an engine.
func (b *Book) margin(r *Request, e *engine, begins time.Time) int {
	m := amplyInTime
	if e.isRisky() {
		m = riskyMargin
	}
	if r.Deadline.IsZero() {
		return m
	}
	token := b.paces.decoding.Seconds(e.decodeSlowness, float64(e.running+1))
	left := r.Deadline.Sub(begins).Seconds()
	takes := token * float64(r.Output)
	switch {
	case r.Gap > 0 && token*float64(b.o.Stride) > r.Gap.Seconds():
		return m + tooLate
	case left >= ampleFactor*takes:
		return m
	case left >= goodFactor*takes:
		return m + wellInTime
	case left >= takes:
		return m + justInTime
	}
	return m + tooLate
}

// decoderFor returns the engine to generate a request's answer, or nil if the list is
// empty: the emptiest of those where the answer ends in time by the best margin, and where
// it is too late everywhere the fastest. The prefill engine is nil where none reads.
func (b *Book) decoderFor(now time.Time, r *Request, free []*engine, prefill *engine) *engine {
	dataCentre, begins := anyDataCentre, now
	if prefill != nil {
		dataCentre, begins = prefill.DataCentre, b.readAt(now, r, prefill)
	}
	if !b.paces.isUneven {
		return emptiest(free, dataCentre)
	}
	begins = begins.Add(b.o.TransferMargin)
	var best *engine
	bestMargin := 0
	for _, e := range free {
		m := b.margin(r, e, begins)
		if best == nil || m < bestMargin || m == bestMargin && isBetterAt(m, e, best, dataCentre) {
			best, bestMargin = e, m
		}
	}
	return best
}

// isBetterAt reports whether an engine is better than another of the same margin.
func isBetterAt(margin int, e, than *engine, dataCentre string) bool {
	if margin%riskyMargin == tooLate && e.decodeSlowness != than.decodeSlowness {
		return e.decodeSlowness < than.decodeSlowness
	}
	return isEmptier(e, than, dataCentre)
}
