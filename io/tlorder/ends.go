package tlorder

import (
	"context"
	"sync"
	"time"

	"trefoillanding/core/tlendpoint"
	"trefoillanding/core/tlrole"
)

// incarnation names one start of an engine.
type incarnation struct {
	id    string
	start int64
}

// endCheck is when it was last found out which engines of a service have ended, and which have.
type endCheck struct {
	at    time.Time
	ended map[incarnation]bool
}

// checkEnds marks the engines that have ended, where the plan depends on it. It finds that
// out at most once within endCheckInterval.
func (o *Controller) checkEnds(ctx context.Context, service string, s tlrole.State) {
	list := s.ToCheck()
	if len(list) == 0 {
		return
	}
	c, isChecked := o.endChecks[service]
	if !isChecked || o.o.Now().Sub(c.at) >= endCheckInterval {
		c = endCheck{at: o.o.Now(), ended: o.findEnded(ctx, list)}
		o.endChecks[service] = c
	}
	for _, e := range list {
		if c.ended[incarnation{e.ID, e.Incarnation}] {
			s.MarkEnded(e.ID)
		}
	}
}

// findEnded returns which of some engines have ended.
func (o *Controller) findEnded(ctx context.Context, list []tlendpoint.Endpoint) map[incarnation]bool {
	ctx, stop := context.WithTimeout(ctx, endCheckTimeout)
	defer stop()
	hasEnded := make([]bool, len(list))
	var checking sync.WaitGroup
	for n, e := range list {
		checking.Go(func() { hasEnded[n] = o.o.HasEnded(ctx, e) })
	}
	checking.Wait()
	ended := map[incarnation]bool{}
	for n, e := range list {
		if hasEnded[n] {
			ended[incarnation{e.ID, e.Incarnation}] = true
		}
	}
	return ended
}
