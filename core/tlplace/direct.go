package tlplace

import (
	"slices"
	"time"
)

// maxWaitShare is the share of the time left until a request is due from which a wait
// for a prefill engine is long: what follows the wait has to fit in too.
const maxWaitShare = 1.0 / 3

// directSlowness is how many times longer a decode engine reads a prompt than a
// prefill engine does, by the engines' protocol.
const directSlowness = 2

// readerKind says which decode engines may read a prompt themselves.
type readerKind int

const (
	// readsNowhere means that the request had better wait for a prefill engine.
	readsNowhere readerKind = iota
	// readsIdle means an engine that generates no answer.
	readsIdle
	// readsBeside means any engine; one that generates no answer comes first by its memory.
	readsBeside
)

// directReaders returns which decode engines may read a request's prompt.
//
// Reading a prompt delays each answer beside it by the reading time. An engine with
// no answers reads it where the wait would be long. One with answers reads it
// only where the request would be late otherwise, and the pause stays within the gap
// that the answers are allowed.
func (b *Book) directReaders(now time.Time, r *Request, p *pass) readerKind {
	wait, ok := p.prefillWait()
	if !ok {
		return readsBeside
	}
	if !b.rates.Prefill.IsKnown() {
		return readsNowhere
	}
	reads, prefill := b.prefillTime(r.Prompt, directSlowness), b.prefillTime(r.Prompt, 1)
	pause := reads + b.rates.AnswerTime(b.o.Stride)
	isLate := now.Add(wait + prefill + b.firstDelay).After(r.Due)
	switch {
	case isLate && (r.Gap <= 0 || pause <= r.Gap):
		return readsBeside
	case float64(wait) > maxWaitShare*float64(r.Due.Sub(now)) && reads < wait+prefill:
		return readsIdle
	}
	return readsNowhere
}

// directEngine returns a decode engine to read the prompt itself, or nil. Where engines
// have several versions, those of each have their own prefill engines to wait for.
func (b *Book) directEngine(now time.Time, r *Request, free []*engine, p *pass) *engine {
	ready := b.readyToRead(now, free)
	if !p.isMixed {
		return b.directEngineOf(now, r, ready, p)
	}
	var list []*engine
	for len(ready) > 0 {
		one := *r
		one.Version = ready[0].Version
		own := b.newPass(now, &one)
		own.queued = p.queued * time.Duration(own.readers) / time.Duration(max(p.readers, 1))
		if e := b.directEngineOf(now, r, ofVersion(ready, one.Version), &own); e != nil {
			list = append(list, e)
		}
		ready = slices.DeleteFunc(ready, func(e *engine) bool { return e.Version == one.Version })
	}
	return b.decoderFor(now, r, list, nil)
}

// directEngineOf returns one of some engines to read the prompt itself, or nil.
func (b *Book) directEngineOf(now time.Time, r *Request, ready []*engine, p *pass) *engine {
	kind := b.directReaders(now, r, p)
	if kind == readsNowhere {
		return nil
	}
	if kind == readsIdle {
		ready = withoutAnswers(ready)
	}
	return b.decoderFor(now, r, ready, nil)
}

// readyToRead returns the free engines that may read another prompt now.
func (b *Book) readyToRead(now time.Time, free []*engine) []*engine {
	var list []*engine
	for _, e := range free {
		if b.mayReadDirectly(now, e) {
			list = append(list, e)
		}
	}
	return list
}

// mayReadDirectly reports whether a decode engine may read another prompt now.
func (b *Book) mayReadDirectly(now time.Time, e *engine) bool {
	isRested := e.running == 0 || !now.Before(e.directFrom)
	return isRested && e.directPrefills < b.o.MaxDirectPrefills
}

// withoutAnswers returns the engines that generate no answer.
func withoutAnswers(engines []*engine) []*engine {
	var list []*engine
	for _, e := range engines {
		if e.running == 0 {
			list = append(list, e)
		}
	}
	return list
}
