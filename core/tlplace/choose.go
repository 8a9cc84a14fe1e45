package tlplace

import (
	"time"

	"trefoillanding/core/tlendpoint"
)

// choice is a pair of engines; prefill is nil where the decode engine reads the prompt.
type choice struct {
	prefill  *engine
	decode   *engine
	usesRead bool
}

// usable returns the engines of a role that a request may be sent to.
func (b *Book) usable(now time.Time, r Request, role tlendpoint.Role) []*engine {
	var list []*engine
	for _, e := range b.order {
		if e.Role == role && e.isUsable(now) && !r.avoids(e.ID) {
			list = append(list, e)
		}
	}
	return list
}

// choose finds engines that have room for a request now.
func (b *Book) choose(now time.Time, r Request) (choice, bool) {
	var free []*engine
	for _, e := range b.usable(now, r, tlendpoint.Decode) {
		if e.keptFor != "" && e.keptFor != r.ID {
			continue
		}
		if e.fits(r.tokens(b.o), b.o) {
			free = append(free, e)
		}
	}
	free = b.near(now, r, free)
	if len(free) == 0 {
		return choice{}, false
	}
	if r.isRead(now) {
		return choice{decode: emptiest(free, anyDataCentre), usesRead: true}, true
	}
	p := b.reader(now, r, free)
	if p != nil {
		return choice{prefill: p, decode: emptiest(free, p.DataCentre)}, true
	}
	if d := b.direct(now, r, free); d != nil {
		return choice{decode: d}, true
	}
	return choice{}, false
}

// near returns the engines of the owner's data centre while answers stall
// between data centres, or all where there are none.
func (b *Book) near(now time.Time, r Request, free []*engine) []*engine {
	if !b.ways.isStalling(now) {
		return free
	}
	var list []*engine
	for _, e := range free {
		if e.DataCentre == r.DataCentre {
			list = append(list, e)
		}
	}
	if len(list) == 0 {
		return free
	}
	return list
}

// reader returns the prefill engine that is free first, if it is about to be.
func (b *Book) reader(now time.Time, r Request, free []*engine) *engine {
	var best *engine
	for _, e := range b.usable(now, r, tlendpoint.Prefill) {
		if e.freeAt.Sub(now) > b.o.DispatchAhead {
			continue
		}
		if best == nil || b.isBetterReader(now, e, best, free) {
			best = e
		}
	}
	return best
}

func (b *Book) isBetterReader(now time.Time, e, than *engine, free []*engine) bool {
	if d := later(now, e.freeAt).Sub(later(now, than.freeAt)); d != 0 {
		return d < 0
	}
	near, thanNear := isNear(e, free), isNear(than, free)
	if near != thanNear {
		return near
	}
	return e.slowness < than.slowness
}

// isNear says whether a decode engine with room stands in the data centre of a prefill engine.
func isNear(e *engine, free []*engine) bool {
	for _, f := range free {
		if f.DataCentre == e.DataCentre {
			return true
		}
	}
	return false
}

// anyDataCentre stands for none that goes first.
const anyDataCentre = ""

// emptiest returns the engine with the most room, those that lost no answers
// first, then those of a data centre; nil where there is none.
func emptiest(free []*engine, dataCentre string) *engine {
	var best *engine
	for _, e := range free {
		if best == nil || isEmptier(e, best, dataCentre) {
			best = e
		}
	}
	return best
}

func isEmptier(e, than *engine, dataCentre string) bool {
	if e.isRisky() != than.isRisky() {
		return !e.isRisky()
	}
	near, thanNear := e.DataCentre == dataCentre, than.DataCentre == dataCentre
	if near != thanNear {
		return near
	}
	return e.held() < than.held()
}

// direct returns a decode engine to read the prompt itself, where no prefill engine is free in time.
func (b *Book) direct(now time.Time, r Request, free []*engine) *engine {
	if b.readerWait(now, r) < b.o.DirectPrefillAfter {
		return nil
	}
	var idle []*engine
	for _, e := range free {
		if e.direct < b.o.MaxDirectPrefills {
			idle = append(idle, e)
		}
	}
	return emptiest(idle, anyDataCentre)
}

// readerWait returns how long a request would wait for a prefill engine, with those before it.
func (b *Book) readerWait(now time.Time, r Request) time.Duration {
	readers := b.usable(now, r, tlendpoint.Prefill)
	if len(readers) == 0 {
		return b.o.DirectPrefillAfter
	}
	var ahead time.Duration
	for _, e := range readers {
		ahead += later(now, e.freeAt).Sub(now)
	}
	for _, w := range b.waiting {
		if w.ID == r.ID {
			break
		}
		ahead += b.readTime(w.Prompt, 1)
	}
	return ahead / time.Duration(len(readers))
}
