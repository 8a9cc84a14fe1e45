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
		HasTraffic:  !b.lastRequest.IsZero() && now.Sub(b.lastRequest) < trafficWindow,
		Waiting:     len(b.waiting),
		Needs:       b.roleNeeds(now),
		IsFirst:     !b.hasPredecessor,
	}
	for _, e := range b.order {
		s.Engines = append(s.Engines, tlrole.Engine{
			Endpoint: e.Endpoint,
			IsBusy:   e.prefills+e.running > 0,
			Slowness: e.workSlowness(),
		})
	}
	s.PrefillUtilisation = b.prefillUse(now)
	return s
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

// RoleChanging takes an engine out of use while it changes its role, at most until the given time.
func (b *Book) RoleChanging(id string, until time.Time) {
	if e := b.engines[id]; e != nil {
		e.roleChangeUntil = until
	}
}
