package tlquota

import (
	"hash/fnv"
	"math"
	"time"

	"trefoillanding/core/tllimit"
)

// savedTime is the allowance that an instance's part holds when its home falls silent: the
// home may have granted the rest a moment ago.
const savedTime = 500 * time.Millisecond

// maxReserveWait bounds the time to return of a request that a Reserve refuses: by then
// another instance is the home.
const maxReserveWait = time.Second

// Reserve decides at an instance whose home of an organisation gives no answer. It grants
// this instance's part of the quota; it is not safe for concurrent use.
//
// The part of an instance is mostly smaller than any request. So a request is granted once
// a fraction of its cost is saved up, which differs from instance to instance and is spread
// evenly over them, and the rest is paid off before the next: all instances together grant
// their parts' sum and at most about one request more.
type Reserve struct {
	parts  map[string]*part
	fleet  tllimit.Fleet
	window time.Duration
	// place is this instance's rank among all, as a fraction of their number.
	place float64
}

// part is an instance's part of one organisation's quota.
type part struct {
	level   float64
	granted float64
	filled  time.Time
	asked   time.Time
}

// NewReserve returns a Reserve without organisations. What is granted is counted over any
// window of the given length.
func NewReserve(window time.Duration) *Reserve {
	return &Reserve{parts: map[string]*part{}, fleet: tllimit.NewFleet(), window: window}
}

// SetFleet sets how many instances there are, and this one's rank among them, from 0.
func (r *Reserve) SetFleet(now time.Time, listed, rank int) {
	r.fleet.Set(now, 1, listed)
	r.place = float64(rank) / float64(max(listed, 1))
}

// Take charges an organisation, whose home has been silent since a time, for a request.
// What this instance's requests were granted within the last window, by whomever, counts
// against its part of what the limit allows in one.
func (r *Reserve) Take(now, since time.Time, organisation string, limit Limit, cost, spent float64) Grant {
	rate := limit.Rate * r.fleet.OwnShare()
	saved := rate * savedTime.Seconds()
	p := r.parts[organisation]
	isNew := p == nil
	if isNew {
		dropLongestUnasked(r.parts, func(p *part) time.Time { return p.asked })
		p = &part{level: saved, filled: since}
		r.parts[organisation] = p
	}
	p.asked = now
	if p.filled.Before(since) {
		p.fill(since, rate, saved)
	}
	p.fill(now, rate, max(saved, cost))
	need := (1 - r.credit(organisation)) * cost
	if r.room(limit)-spent < need {
		return Grant{Wait: maxReserveWait, Level: p.level, IsNew: isNew}
	}
	if p.level < need {
		return Grant{Wait: min(seconds((need-p.level)/rate), maxReserveWait), Level: p.level, IsNew: isNew}
	}
	p.level -= cost
	p.granted += cost
	return Grant{IsGranted: true, Level: p.level, IsNew: isNew}
}

// room returns this instance's part of what a limit allows in a window.
func (r *Reserve) room(l Limit) float64 {
	return l.inWindow(r.window) * r.fleet.OwnShare()
}

// GiveBack returns what a request was charged that has not run.
func (r *Reserve) GiveBack(organisation string, cost float64) {
	if p := r.parts[organisation]; p != nil {
		p.level += cost
	}
}

// credit returns the fraction of a request's cost that is not needed at its grant. It
// begins at another instance for each organisation, so that none is always the last.
func (r *Reserve) credit(organisation string) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(organisation))
	_, f := math.Modf(r.place + float64(h.Sum64())/math.MaxUint64)
	return f
}

// Granted returns what was granted to each organisation.
func (r *Reserve) Granted() map[string]float64 {
	return byOrganisation(r.parts, func(p *part) float64 { return p.granted })
}

// fill adds the allowance since the last call.
func (p *part) fill(now time.Time, rate, most float64) {
	p.level = min(p.level+rate*max(now.Sub(p.filled).Seconds(), 0), most)
	p.filled = now
}
