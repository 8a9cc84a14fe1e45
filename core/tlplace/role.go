package tlplace

import (
	"time"

	"trefoillanding/core/tlendpoint"
	"trefoillanding/core/tlrole"
)

// trafficMemory is how long after the last request a service counts as in use.
const trafficMemory = 3 * time.Second

// Roles returns what a plan of roles is made from, but for what only the giver of orders knows.
func (b *Book) Roles(now time.Time) tlrole.State {
	s := tlrole.State{
		PrefillWork: b.readWork,
		DecodeWork:  b.decodeWork,
		HasTraffic:  !b.lastRequest.IsZero() && now.Sub(b.lastRequest) < trafficMemory,
		Waiting:     len(b.waiting),
	}
	for _, e := range b.order {
		s.Engines = append(s.Engines, tlrole.Engine{Endpoint: e.Endpoint, IsBusy: e.reading+e.running > 0})
	}
	s.PrefillUtilisation = b.readUse(now)
	return s
}

// readUse returns the part of the prefill engines that have prompts to read.
func (b *Book) readUse(now time.Time) float64 {
	var readers, busy float64
	for _, e := range b.order {
		if e.Role != tlendpoint.Prefill || !e.isUsable(now) {
			continue
		}
		readers++
		if e.reading > 0 {
			busy++
		}
	}
	if readers == 0 {
		return 1
	}
	return busy / readers
}

// Away notes that an engine changes its role and is away until a time at most.
func (b *Book) Away(id string, until time.Time) {
	if e := b.engines[id]; e != nil {
		e.awayUntil = until
	}
}
