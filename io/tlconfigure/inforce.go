package tlconfigure

import (
	"context"
	"slices"
	"sync"
	"time"

	"trefoillanding/core/tlwire"
	"trefoillanding/io/tlpeer"
)

// askedAtOnce is how many instances are asked at a time.
const askedAtOnce = 32

// WaitInForce waits until a generation is in force on every live instance; it
// returns the names of those on which it is not, as far as is known, when ctx ends.
func (c *Configurer) WaitInForce(ctx context.Context, generation uint64) []string {
	var mu sync.Mutex
	var missing []string
	var w sync.WaitGroup
	slots := make(chan struct{}, askedAtOnce)
	for _, m := range c.o.Gossip.Live() {
		slots <- struct{}{}
		w.Go(func() {
			defer func() { <-slots }()
			if !c.isInForceAt(ctx, m.Name, generation) {
				mu.Lock()
				missing = append(missing, m.Name)
				mu.Unlock()
			}
		})
	}
	w.Wait()
	slices.Sort(missing)
	return missing
}

// isInForceAt asks one instance until it has the generation or ctx ends.
func (c *Configurer) isInForceAt(ctx context.Context, name string, generation uint64) bool {
	for {
		q := tlwire.InForceCall{Generation: generation, Wait: c.o.Timing.Wait}
		call, cancel := context.WithTimeout(ctx, c.o.Timing.Wait+c.o.Timing.Timeout)
		a, err := tlpeer.Call[tlwire.InForceCall, tlwire.InForceAnswer](call, c.o.Mesh, name, kindInForce, q)
		cancel()
		if err == nil && a.Generation >= generation {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(minBackoff):
		}
	}
}

func (c *Configurer) answerInForce(ctx context.Context, _ tlpeer.Peer, q tlwire.InForceCall) (tlwire.InForceAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, min(q.Wait, c.o.Timing.Wait))
	defer cancel()
	for {
		_, moved := c.next()
		g, _ := c.Current()
		if g >= q.Generation {
			return tlwire.InForceAnswer{Generation: g}, nil
		}
		select {
		case <-moved:
		case <-ctx.Done():
			return tlwire.InForceAnswer{Generation: g}, nil
		}
	}
}
