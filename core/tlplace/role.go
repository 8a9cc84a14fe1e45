package tlplace

import (
	"time"

	"trefoillanding/core/tlendpoint"
	"trefoillanding/core/tlrole"
)

// trafficWindow is how long after the last request a service counts as in use.
const trafficWindow = 3 * time.Second

// RoleState returns the input of a role plan, except for what only the sender of role orders knows.
func (b *Book) RoleState(now time.Time) tlrole.State {
	s := tlrole.State{
		PrefillWork: b.rates.PrefillWork(),
		DecodeWork:  b.rates.DecodeWork(),
		HasTraffic:  b.hasTraffic(now),
		Waiting:     len(b.waiting),
		Needs:       b.roleNeeds(now),
		IsFirst:     !b.hasPredecessor,
	}
	for _, e := range b.order {
		s.Engines = append(s.Engines, tlrole.Engine{
			Endpoint:  e.Endpoint,
			IsBusy:    e.prefills+e.running > 0,
			IsFailing: e.failures > 0,
			Slowness:  e.workSlowness(),
		})
	}
	s.PrefillUtilisation = b.prefillUse(now)
	return s
}

// hasTraffic reports whether requests have arrived recently.
func (b *Book) hasTraffic(now time.Time) bool {
	return !b.lastRequest.IsZero() && now.Sub(b.lastRequest) < trafficWindow
}

// prefillUse returns the share of the usable prefill engines that have prompts to read; 1 where there are none.
func (b *Book) prefillUse(now time.Time) float64 {
	var readers, busy float64
	for _, e := range b.order {
		if e.Role != tlendpoint.Prefill || !e.isUsable(now) {
			continue
		}
		readers++
		if e.prefills > 0 {
			busy++
		}
	}
	if readers == 0 {
		return 1
	}
	return busy / readers
}

// RoleChanging takes an engine out of use while it changes to a role, at most until the given time.
func (b *Book) RoleChanging(now time.Time, id string, to tlendpoint.Role, until time.Time) {
	if e := b.engines[id]; e != nil {
		e.roleChangeUntil, e.changesTo = until, to
		e.changedAt = now.Add(b.o.RoleChangeTime)
	}
}

// RoleKept puts an engine into use again that does not change its role after all.
func (b *Book) RoleKept(id string) {
	if e := b.engines[id]; e != nil {
		e.roleChangeUntil = time.Time{}
	}
}

// isChangingTo reports whether the engine is changing to a role.
func (e *engine) isChangingTo(now time.Time, r tlendpoint.Role) bool {
	return e.Role != r && e.changesTo == r && now.Before(e.roleChangeUntil)
}

// changedDecoder returns when the first engine of a version that is changing its role is
// expected to decode; false if none is.
func (b *Book) changedDecoder(now time.Time, version string) (time.Time, bool) {
	var first time.Time
	for _, e := range b.order {
		if !e.hasVersion(version) || e.IsDraining || !e.isChangingTo(now, tlendpoint.Decode) {
			continue
		}
		if at := later(now, e.changedAt); first.IsZero() || at.Before(first) {
			first = at
		}
	}
	return first, !first.IsZero()
}

// LacksDecoder reports whether requests need a version, or the service, of which no decode
// engine is known to work, while a prefill engine of it could become one.
func (b *Book) LacksDecoder(now time.Time) bool {
	if b.hasTraffic(now) && b.mayRestore(now, anyVersion) {
		return true
	}
	for _, version := range b.needs.versions(now) {
		if b.mayRestore(now, version) {
			return true
		}
	}
	return false
}

// mayRestore reports whether no decode engine of a version is known to work, nor about to be
// one, and a prefill engine of it is there.
func (b *Book) mayRestore(now time.Time, version string) bool {
	if b.hasWorkingDecoder(version) {
		return false
	}
	hasPrefill := false
	for _, e := range b.order {
		if e.IsDraining || e.Role != tlendpoint.Prefill || !e.hasVersion(version) {
			continue
		}
		if e.isChangingTo(now, tlendpoint.Decode) {
			return false
		}
		hasPrefill = true
	}
	return hasPrefill
}

// expectedDecoder returns when a version that has no decode engine is expected to have one:
// once an engine has changed its role, whether or not it has been ordered to yet. It returns
// false if no engine of the version lives that could. Where there is no decode engine at all,
// the list of engines may be incomplete, so that only an order counts for anyVersion.
func (b *Book) expectedDecoder(now time.Time, version string) (time.Time, bool) {
	if at, ok := b.changedDecoder(now, version); ok {
		return at, true
	}
	if b.o.RoleChangeTime <= 0 || version == anyVersion {
		return time.Time{}, false
	}
	for _, e := range b.order {
		if e.Role == tlendpoint.Prefill && !e.IsDraining && e.hasVersion(version) {
			return now.Add(tlrole.RestoreTime(b.o.RoleChangeTime)), true
		}
	}
	return time.Time{}, false
}
