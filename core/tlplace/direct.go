package tlplace

import (
	"time"

	"trefoillanding/core/tlendpoint"
)

// maxWaitShare is the share of the time left until a request is due from which a wait
// for a prefill engine is long: what follows the wait has to fit in too.
const maxWaitShare = 1.0 / 3

// directSlowness is how many times longer a decode engine reads a prompt than a
// prefill engine does, by the engines' protocol.
const directSlowness = 2

// directEngine returns a decode engine to read the prompt itself, or nil where the
// request had better wait for a prefill engine.
//
// Reading a prompt delays each answer beside it by the reading time. An engine with
// no answers reads it where the wait would be long. One with answers reads it
// only where the request would be late otherwise, and the pause stays within the gap
// that the answers are allowed.
func (b *Book) directEngine(now time.Time, r *Request, free []*engine) *engine {
	ready := b.readyToRead(now, free)
	wait, ok := b.prefillWait(now, r)
	if !ok {
		return emptiest(ready, anyDataCentre)
	}
	if !b.rates.Prefill.IsKnown() {
		return nil
	}
	reads := b.prefillTime(r.Prompt, directSlowness)
	if float64(wait) > maxWaitShare*float64(r.Due.Sub(now)) && reads < wait+b.prefillTime(r.Prompt, 1) {
		if e := emptiest(withoutAnswers(ready), anyDataCentre); e != nil {
			return e
		}
	}
	due := now.Add(wait + b.prefillTime(r.Prompt, 1) + b.firstEventDelay())
	pause := reads + b.rates.AnswerTime(b.o.Stride)
	if !due.After(r.Due) || r.Gap > 0 && pause > r.Gap {
		return nil
	}
	return emptiest(ready, anyDataCentre)
}

// readyToRead returns the free engines that may read another prompt now.
func (b *Book) readyToRead(now time.Time, free []*engine) []*engine {
	var list []*engine
	for _, e := range free {
		isRested := e.running == 0 || !now.Before(e.directFrom)
		if e.directPrefills < b.o.MaxDirectPrefills && isRested {
			list = append(list, e)
		}
	}
	return list
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

// prefillWait returns how long a request would wait for a prefill engine, behind
// those queued before it; false where there is no prefill engine.
func (b *Book) prefillWait(now time.Time, r *Request) (time.Duration, bool) {
	readers := b.usable(now, r, tlendpoint.Prefill)
	if len(readers) == 0 {
		return 0, false
	}
	var ahead time.Duration
	for _, e := range readers {
		ahead += later(now, e.freeAt).Sub(now)
	}
	for _, w := range b.waiting {
		if w.ID == r.ID {
			break
		}
		ahead += b.prefillTime(w.Prompt, 1)
	}
	return ahead / time.Duration(len(readers)), true
}
