package tlplace

import (
	"time"

	"trefoillanding/core/tlendpoint"
)

// pass is what one pass over the queue knows of all engines together, so that a
// request that can't be placed is left in the queue without a look at each of them.
type pass struct {
	// room is the largest number of free tokens of any usable decode engine with a free slot.
	room int
	// readRoom and idleRoom are the same among those that may read a prompt themselves,
	// and among those of them that generate no answer; -1 where there are none.
	readRoom, idleRoom int
	// isMixed is set where the engines have more than one version, so that not every
	// prefill engine can read for every decode engine.
	isMixed bool
	// readers counts the usable prefill engines.
	readers int
	// ahead is the time until all prompts at prefill engines are read, summed up over the engines.
	ahead time.Duration
	// queued is the time in which prefill engines read the prompts queued before the present request.
	queued time.Duration
	// readDelay is the time until the first prefill engine is free; 0 where none is
	// usable, since decode engines read prompts then.
	readDelay time.Duration
	// mayDispatch is set where a prefill engine may be sent another prompt now.
	mayDispatch bool
}

// newPass looks at all engines, or at those that a request accepts if one is given.
func (b *Book) newPass(now time.Time, r *Request) pass {
	p := pass{readRoom: -1, idleRoom: -1}
	var first *engine
	for _, e := range b.order {
		if !isOpen(now, r, e) {
			continue
		}
		if first == nil {
			first = e
		}
		p.isMixed = p.isMixed || e.Version != first.Version
		if e.Role == tlendpoint.Prefill {
			p.addReader(later(e.freeAt, now).Sub(now), b.mayDispatch(now, e))
		} else if e.running < b.o.Slots {
			p.addDecoder(e, e.freeTokens(b.o), b.mayReadDirectly(now, e))
		}
	}
	return p
}

// isOpen reports whether an engine may be sent a request now, or any request if none is given.
func isOpen(now time.Time, r *Request, e *engine) bool {
	return e.isUsable(now) && (r == nil || r.accepts(e))
}

func (p *pass) addReader(wait time.Duration, mayDispatch bool) {
	if p.readers == 0 || wait < p.readDelay {
		p.readDelay = wait
	}
	p.readers++
	p.ahead += wait
	p.mayDispatch = p.mayDispatch || mayDispatch
}

func (p *pass) addDecoder(e *engine, free int, mayRead bool) {
	p.room = max(p.room, free)
	if !mayRead {
		return
	}
	p.readRoom = max(p.readRoom, free)
	if e.running == 0 {
		p.idleRoom = max(p.idleRoom, free)
	}
}

// renew looks at the engines again after a decision, and keeps what is known of the queue.
func (p *pass) renew(now time.Time, b *Book) {
	queued := p.queued
	*p = b.newPass(now, nil)
	p.queued = queued
}

// of returns the pass as it is for a request, with the engines that it accepts.
func (p *pass) of(now time.Time, b *Book, r *Request) *pass {
	if !r.isRestricted() {
		return p
	}
	own := b.newPass(now, r)
	own.queued = p.queued
	return &own
}

// prefillWait returns how long a request would wait for a prefill engine, behind
// those queued before it; false where there is none.
func (p *pass) prefillWait() (time.Duration, bool) {
	if p.readers == 0 {
		return 0, false
	}
	return (p.ahead + p.queued) / time.Duration(p.readers), true
}

// mayFindReader reports whether an engine may read a request's prompt now, wherever the
// request stands in the queue; false is certain.
func (p *pass) mayFindReader(now time.Time, r *Request) bool {
	return p.readRoom >= 0 || p.mayNeedNoDirectReader(now, r)
}

// mayNeedNoDirectReader reports whether a request may be placed without a decode engine
// that reads its prompt; what it does not accept is not in the pass, so that a
// restricted request has to be looked at by itself.
func (p *pass) mayNeedNoDirectReader(now time.Time, r *Request) bool {
	return p.mayDispatch || p.isMixed || r.isPrefillKept(now) || r.isRestricted()
}

// mayPlace reports whether engines for a request may be found; false is certain.
func (p *pass) mayPlace(now time.Time, b *Book, r *Request) bool {
	tokens := r.tokens(&b.o)
	if tokens > p.room {
		return false
	}
	if p.mayNeedNoDirectReader(now, r) {
		return true
	}
	switch b.directReaders(now, r, p) {
	case readsBeside:
		return tokens <= p.readRoom
	case readsIdle:
		return tokens <= p.idleRoom
	}
	return false
}
