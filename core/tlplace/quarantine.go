package tlplace

import (
	"strconv"
	"time"
)

// Crashed records that the connection to an engine broke before a request's answer had
// begun. It returns the part of the prompt to quarantine and the engines that ended
// under it; false if there is none.
func (b *Book) Crashed(now time.Time, id, engine string) (part string, engines []string, ok bool) {
	k := b.bookings[id]
	if k == nil || k.Decode != engine {
		return "", nil, false
	}
	incarnation := engine
	if e := b.engines[engine]; e != nil {
		incarnation += "/" + strconv.FormatInt(e.Incarnation, 10)
	}
	return b.quarantine.Crashed(now, incarnation, k.Parts)
}

// Completed records that a request's answer is complete. It returns the parts of its
// prompt that were in quarantine and are no more.
func (b *Book) Completed(now time.Time, id string) (lifted []string) {
	if k := b.bookings[id]; k != nil {
		return b.quarantine.Answered(now, k.Parts)
	}
	return nil
}

// Quarantine refuses all requests with a part until a time; it reports whether that is news.
func (b *Book) Quarantine(now, until time.Time, part string) bool {
	b.mayQueueQuarantined = true
	return b.quarantine.Quarantine(now, until, part)
}

// LiftQuarantine ends the quarantine of a part; it reports whether it was in force.
func (b *Book) LiftQuarantine(now time.Time, part string) bool {
	return b.quarantine.Lift(now, part)
}

// ExpiredQuarantines returns the parts whose quarantine has ended since the last call.
func (b *Book) ExpiredQuarantines(now time.Time) []string {
	return b.quarantine.Expired(now)
}

// heldFor returns how long a request is held off by the quarantine of a part; false if it is not.
func (b *Book) heldFor(now time.Time, r *Request) (time.Duration, bool) {
	_, left, held := b.quarantine.Held(now, r.Parts)
	return left, held
}

// refuseQuarantined refuses the queued requests with a part in quarantine. Submit queues
// none, and the home of a large fleet calls Tick at every report.
func (b *Book) refuseQuarantined(now time.Time) []Decision {
	if !b.mayQueueQuarantined {
		return nil
	}
	b.mayQueueQuarantined = false
	var refused []Decision
	keep := b.waiting[:0]
	for _, r := range b.waiting {
		if left, held := b.heldFor(now, r); held {
			refused = append(refused, r.refused(now, PartQuarantined, left))
			continue
		}
		keep = append(keep, r)
	}
	b.waiting = keep
	return refused
}
