package tldirectory

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"trefoillanding/core/tlendpoint"
	"trefoillanding/core/tlhealth"
	"trefoillanding/core/tlpace"
)

// Directory holds endpoints and their health; it is safe for concurrent use.
type Directory struct {
	mu        sync.Mutex
	byService map[string][]tlendpoint.Endpoint
	byID      map[string]tlendpoint.Endpoint
	// listed holds all endpoints as they were set, notices what they have said since.
	listed   []tlendpoint.Endpoint
	notices  *tlendpoint.Notices
	health   *tlhealth.Table
	isLoaded bool
	// confirmed holds which endpoints have said that they are the incarnation listed.
	confirmed map[string]confirmation
	onChange  func(id string, before, after bool)
	// OnPaceChange, if set, is called, without the lock held, when the time of an
	// endpoint's answers has changed much.
	OnPaceChange func(id string, before, after time.Duration)
}

// New returns an empty directory. onChange is called, without the lock held, when
// an endpoint starts or stops failing; before and after say whether it was failing.
func New(r *rand.Rand, onChange func(id string, before, after bool)) *Directory {
	return &Directory{
		byService: map[string][]tlendpoint.Endpoint{},
		byID:      map[string]tlendpoint.Endpoint{},
		notices:   tlendpoint.NewNotices(),
		health:    tlhealth.New(r),
		confirmed: map[string]confirmation{},
		onChange:  onChange,
	}
}

// Set replaces all known endpoints.
func (d *Directory) Set(now time.Time, all []tlendpoint.Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.listed, d.isLoaded = all, true
	d.notices.Listed(now, all)
	d.index()
	d.health.Retain(all)
	maps.DeleteFunc(d.confirmed, func(id string, _ confirmation) bool {
		_, isListed := d.byID[id]
		return !isListed
	})
}

// index rebuilds the lists; an endpoint that has said that it leaves counts as draining. d.mu must be held.
func (d *Directory) index() {
	d.byService = map[string][]tlendpoint.Endpoint{}
	d.byID = make(map[string]tlendpoint.Endpoint, len(d.listed))
	for _, e := range d.listed {
		e.IsDraining = e.IsDraining || d.notices.IsLeaving(e)
		d.byService[e.Service] = append(d.byService[e.Service], e)
		d.byID[e.ID] = e
	}
}

// IsLoaded says whether Set has been called.
func (d *Directory) IsLoaded() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.isLoaded
}

// MarkLeaving records that an incarnation of an endpoint leaves, so that it counts as
// draining; it reports whether that is news.
func (d *Directory) MarkLeaving(now time.Time, e tlendpoint.Endpoint) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.notices.Leaving(now, e) {
		return false
	}
	d.index()
	return true
}

// MarkResting records that an endpoint wants no requests for a time; it reports
// whether it was not resting before.
func (d *Directory) MarkResting(now time.Time, e tlendpoint.Endpoint, rest time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.notices.Rest(now, now.Add(rest), e)
}

// HoldOff records that there is no permit for an endpoint within its limit for a time.
func (d *Directory) HoldOff(now time.Time, e tlendpoint.Endpoint, wait time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.notices.HoldOff(now, now.Add(wait), e)
}

// IsResting reports whether an endpoint has said that it wants no requests now.
func (d *Directory) IsResting(now time.Time, e tlendpoint.Endpoint) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return now.Before(d.notices.RestUntil(e))
}

// IsClosed reports whether an endpoint may be sent no requests now.
func (d *Directory) IsClosed(now time.Time, e tlendpoint.Endpoint) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return now.Before(d.notices.ClosedUntil(e))
}

// Unavailable returns the IDs of the endpoints of a service that have said that they
// leave, or that may be sent no requests now.
func (d *Directory) Unavailable(now time.Time, service string) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []string
	for _, e := range d.byService[service] {
		if d.notices.IsLeaving(e) || now.Before(d.notices.ClosedUntil(e)) {
			list = append(list, e.ID)
		}
	}
	return list
}

// OpensIn returns how long it takes until the first endpoint of a service that can
// answer may be sent requests again; false if one may now, or there is none.
func (d *Directory) OpensIn(now time.Time, service string) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var first time.Time
	for _, e := range d.byService[service] {
		if e.IsDraining || e.Role == tlendpoint.Prefill {
			continue
		}
		until := d.notices.ClosedUntil(e)
		if !now.Before(until) {
			return 0, false
		}
		if first.IsZero() || until.Before(first) {
			first = until
		}
	}
	return first.Sub(now), !first.IsZero()
}

// MarkLimit records that an endpoint named a limit, in requests a second, at a time; it
// reports whether it named none before.
func (d *Directory) MarkLimit(now, named time.Time, e tlendpoint.Endpoint, rate float64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.notices.Limit(now, named, e, rate)
}

// MarkUnlimited records that an endpoint names a limit no more; it reports whether it did before.
func (d *Directory) MarkUnlimited(e tlendpoint.Endpoint) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.notices.Unlimit(e)
}

// Limit returns the limit that an endpoint names, and when it was last heard.
func (d *Directory) Limit(e tlendpoint.Endpoint) (rate float64, named time.Time, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.notices.LimitOf(e)
}

// Limits returns the limits that listed endpoints name, by their IDs.
func (d *Directory) Limits() map[string]float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	limits := d.notices.Limits()
	maps.DeleteFunc(limits, func(id string, _ float64) bool {
		_, _, isLimited := d.notices.LimitOf(d.byID[id])
		return !isLimited
	})
	return limits
}

// open returns the endpoints of a service that may be sent requests now; d.mu must be held.
func (d *Directory) open(now time.Time, service string) []tlendpoint.Endpoint {
	list := d.byService[service]
	isClosed := func(e tlendpoint.Endpoint) bool { return now.Before(d.notices.ClosedUntil(e)) }
	if !slices.ContainsFunc(list, isClosed) {
		return list
	}
	return slices.DeleteFunc(slices.Clone(list), isClosed)
}

// Endpoints returns the endpoints of a service; the returned slice is never modified.
func (d *Directory) Endpoints(service string) []tlendpoint.Endpoint {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.byService[service]
}

// Services returns the names of the services that have endpoints, sorted.
func (d *Directory) Services() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Sorted(maps.Keys(d.byService))
}

// InUse returns the endpoints of a service that do not drain.
func (d *Directory) InUse(service string) []tlendpoint.Endpoint {
	d.mu.Lock()
	defer d.mu.Unlock()
	isDraining := func(e tlendpoint.Endpoint) bool { return e.IsDraining }
	return slices.DeleteFunc(slices.Clone(d.byService[service]), isDraining)
}

// FindListed returns an endpoint by its ID, also one that drains; false if it is unknown.
func (d *Directory) FindListed(id string) (tlendpoint.Endpoint, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e, ok := d.byID[id]
	return e, ok
}

// Find returns an endpoint by its ID; false if it is unknown or draining.
func (d *Directory) Find(id string) (tlendpoint.Endpoint, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e, ok := d.byID[id]
	return e, ok && !e.IsDraining
}

// Pick returns an endpoint of a service for a request; see tlhealth.Table.Pick.
func (d *Directory) Pick(now time.Time, service string, avoid []string, mayRepeat bool) (tlendpoint.Endpoint, bool) {
	return d.PickVersion(now, service, "", avoid, mayRepeat)
}

// PickVersion returns, as Pick does, an endpoint with a version, or with any if that is empty.
func (d *Directory) PickVersion(now time.Time, service, version string, avoid []string, mayRepeat bool) (tlendpoint.Endpoint, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := d.open(now, service)
	if version != "" {
		isOther := func(e tlendpoint.Endpoint) bool { return e.Version != version }
		list = slices.DeleteFunc(slices.Clone(list), isOther)
	}
	return d.health.Pick(now, list, avoid, mayRepeat)
}

// Begin counts a request as in flight at an endpoint that was chosen without Pick.
func (d *Directory) Begin(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.health.Begin(id)
}

// Unsuited returns the IDs of the endpoints of a service that may be sent no requests now,
// or have failed lately; see tlhealth.Table.IsDoubted.
func (d *Directory) Unsuited(now time.Time, service string, mayRepeat bool) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []string
	for _, e := range d.byService[service] {
		if now.Before(d.notices.ClosedUntil(e)) || d.health.IsDoubted(now, e.ID, mayRepeat) {
			list = append(list, e.ID)
		}
	}
	return list
}

// confirmation is when an incarnation of an endpoint was last asked for it, and said so.
type confirmation struct {
	incarnation int64
	at          time.Time
}

// Confirm records that an endpoint, asked at a time, has said that it is the incarnation listed.
func (d *Directory) Confirm(at time.Time, e tlendpoint.Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c := d.confirmed[e.ID]; c.incarnation == e.Incarnation && c.at.After(at) {
		return
	}
	d.confirmed[e.ID] = confirmation{e.Incarnation, at}
}

// ConfirmedAt returns when an incarnation of an endpoint has last said that it is the one:
// connections that were opened before lead to it. It is zero if it never has.
func (d *Directory) ConfirmedAt(e tlendpoint.Endpoint) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c := d.confirmed[e.ID]; c.incarnation == e.Incarnation {
		return c.at
	}
	return time.Time{}
}

// Observe records the outcome of a request sent to an endpoint and how long it took.
func (d *Directory) Observe(now time.Time, id string, o tlhealth.Outcome, took time.Duration) {
	d.mu.Lock()
	before := d.health.IsFailing(id)
	d.health.Observe(now, id, o, took)
	after := d.health.IsFailing(id)
	was, is, isChanged := d.health.PaceChange(id)
	d.mu.Unlock()
	if before != after {
		d.onChange(id, before, after)
	}
	if isChanged && d.OnPaceChange != nil {
		d.OnPaceChange(id, was, is)
	}
}

// TypicalAnswerTime returns the average time in which an endpoint answers.
func (d *Directory) TypicalAnswerTime(id string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.health.MeanAnswerTime(id)
}

// Curves returns the measured answer times of a service's endpoints by their IDs.
func (d *Directory) Curves(service string) map[string]tlpace.Curve {
	d.mu.Lock()
	defer d.mu.Unlock()
	curves := map[string]tlpace.Curve{}
	for _, e := range d.byService[service] {
		if c, ok := d.health.Curve(e.ID); ok {
			curves[e.ID] = c
		}
	}
	return curves
}

// IsFailing reports whether the last requests to an endpoint failed.
func (d *Directory) IsFailing(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.health.IsFailing(id)
}

// Failing returns the IDs of the endpoints whose last requests failed, sorted.
func (d *Directory) Failing() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := []string{}
	for id := range d.byID {
		if d.health.IsFailing(id) {
			list = append(list, id)
		}
	}
	slices.Sort(list)
	return list
}
