package tlplace

import (
	"slices"
	"time"

	"trefoillanding/core/tlendpoint"
)

// choice is a pair of engines; prefill is nil where no prefill engine has to read the prompt.
type choice struct {
	prefill       *engine
	decode        *engine
	reusesPrefill bool
}

// usable returns the engines of a role that a request may be sent to now, from a random
// one on: where all instances decide by themselves, since their home is gone, those
// with equal books must not choose the same engines.
func (b *Book) usable(now time.Time, r *Request, role tlendpoint.Role) []*engine {
	var list []*engine
	for _, e := range b.order {
		if e.Role == role && isOpen(now, r, e) {
			list = append(list, e)
		}
	}
	return b.rotate(list)
}

// rotate moves a random number of engines from the beginning of a list to its end.
func (b *Book) rotate(list []*engine) []*engine {
	if len(list) < 2 {
		return list
	}
	n := b.random.IntN(len(list))
	slices.Reverse(list[:n])
	slices.Reverse(list[n:])
	slices.Reverse(list)
	return list
}

// choose returns engines that have room for a request now, if there are any.
func (b *Book) choose(now time.Time, r *Request, p *pass) (choice, bool) {
	var free []*engine
	for _, e := range b.usable(now, r, tlendpoint.Decode) {
		if e.reservedFor != "" && e.reservedFor != r.ID {
			continue
		}
		if e.fits(r.tokens(&b.o), b.o) {
			free = append(free, e)
		}
	}
	free = b.preferOwnersDataCentre(now, r, free)
	if len(free) == 0 {
		return choice{}, false
	}
	if r.isPrefillKept(now) {
		if e := b.decoderFor(now, r, ofVersion(free, r.PrefillVersion), nil); e != nil {
			return choice{decode: e, reusesPrefill: true}, true
		}
	}
	if e := b.nextPrefillEngine(now, r, free); e != nil {
		return choice{prefill: e, decode: b.decoderFor(now, r, ofVersion(free, e.Version), e)}, true
	}
	if d := b.directEngine(now, r, free, p); d != nil {
		return choice{decode: d}, true
	}
	return choice{}, false
}

// ofVersion returns the engines of a version: what one has read of a prompt is of no use to another.
func ofVersion(engines []*engine, version string) []*engine {
	isOther := func(e *engine) bool { return e.Version != version }
	if !slices.ContainsFunc(engines, isOther) {
		return engines
	}
	return slices.DeleteFunc(slices.Clone(engines), isOther)
}

// preferOwnersDataCentre returns the free engines in the owner's data centre while
// answers stall between data centres; all of them otherwise, or where none is there.
func (b *Book) preferOwnersDataCentre(now time.Time, r *Request, free []*engine) []*engine {
	if !b.stalls.isStalling(now) {
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

// nextPrefillEngine returns the prefill engine that is free first, or nil if none is free
// within DispatchAhead whose version a free decode engine has.
func (b *Book) nextPrefillEngine(now time.Time, r *Request, free []*engine) *engine {
	var best *engine
	for _, e := range b.usable(now, r, tlendpoint.Prefill) {
		if !b.mayDispatch(now, e) || len(ofVersion(free, e.Version)) == 0 {
			continue
		}
		if best == nil || b.isBetterPrefillEngine(now, e, best, free) {
			best = e
		}
	}
	return best
}

// mayDispatch reports whether a prefill engine may be sent another prompt now.
func (b *Book) mayDispatch(now time.Time, e *engine) bool {
	if !b.rates.Prefill.IsKnown() {
		return e.prefills < b.o.MaxUnmeasuredPrefills
	}
	return e.freeAt.Sub(now) <= b.o.DispatchAhead
}

func (b *Book) isBetterPrefillEngine(now time.Time, e, than *engine, free []*engine) bool {
	if d := later(now, e.freeAt).Sub(later(now, than.freeAt)); d != 0 {
		return d < 0
	}
	if !b.rates.Prefill.IsKnown() && e.prefills != than.prefills {
		return e.prefills < than.prefills
	}
	near, thanNear := hasDecodeNearby(e, free), hasDecodeNearby(than, free)
	if near != thanNear {
		return near
	}
	return e.slowness < than.slowness
}

// hasDecodeNearby reports whether a decode engine with room is in the data centre of a prefill engine.
func hasDecodeNearby(e *engine, free []*engine) bool {
	for _, f := range free {
		if f.DataCentre == e.DataCentre {
			return true
		}
	}
	return false
}

// anyDataCentre means that no data centre is preferred.
const anyDataCentre = ""

// emptiest returns the engine with the least memory in use; engines that are not
// risky come first, then those of the given data centre. It returns nil for an empty list.
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
	return e.heldTokens()+e.withheld < than.heldTokens()+than.withheld
}
