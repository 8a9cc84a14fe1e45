package gateway

import (
	"context"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"trefoillanding/core/tlmember"
	"trefoillanding/core/tlrole"
	"trefoillanding/platform/tlstand"
)

// homeAndOther returns the home of the engines' service and an instance beside it.
func homeAndOther(all []*Instance) (home, other *Instance) {
	name := all[0].gossip.Oldest(tlstand.ModelService, homeChoices)
	k := slices.IndexFunc(all, func(i *Instance) bool { return i.settings.Name == name })
	return all[k], all[(k+1)%len(all)]
}

// holdUntil has an engine keep requests waiting until a channel is closed or their caller leaves.
func holdUntil(release <-chan struct{}, e *tlstand.Endpoint) {
	e.Intercept = func(_ http.ResponseWriter, r *http.Request, _ *tlstand.Arrival) bool {
		select {
		case <-release:
		case <-r.Context().Done():
		}
		return false
	}
}

// A home that was one no more once let those wait for ever who had asked it.
func TestARequestThatWaitsWhileItsHomeLeavesIsPlacedByTheNext(t *testing.T) {
	w := newWorld(t)
	w.engine("p", "prefill")
	e := w.engine("d1", "decode")
	release := make(chan struct{})
	holdUntil(release, e)
	all := w.fleet(3)
	home, owner := homeAndOther(all)
	large := func(id string) tlstand.Call {
		c := stream(id, tlstand.StreamPath)
		c.Prompt, c.Deadline = 25_000, 4*time.Second
		return c
	}
	answers := make(chan answer, 2)
	go func() { answers <- w.call(owner, large("first")) }()
	w.eventually(func() bool { return len(e.Arrivals()) == 1 })
	go func() { answers <- w.call(owner, large("second")) }()
	w.eventually(func() bool { return home.desk.Roles(tlstand.ModelService).Waiting == 1 })
	go home.Drain(context.Background())
	w.eventually(func() bool { return owner.gossip.Oldest(tlstand.ModelService, homeChoices) != home.settings.Name })
	close(release)
	for range 2 {
		assert.Equal(t, threeEvents, (<-answers).body)
	}
}

// An instance that left once counted as gone while it still served, and its
// requests' places were given to others.
func TestPlacesOfAnInstanceThatLeavesAreItsOwnUntilItEnds(t *testing.T) {
	w := newWorld(t)
	w.engine("p", "prefill")
	e := w.engine("d1", "decode")
	release := make(chan struct{})
	holdUntil(release, e)
	all := w.fleet(3)
	home, owner := homeAndOther(all)
	answered := make(chan answer, 1)
	go func() {
		c := stream("first", tlstand.StreamPath)
		c.Deadline = patience
		answered <- w.call(owner, c)
	}()
	w.eventually(func() bool { return len(e.Arrivals()) == 1 })
	isHeld := func() bool { return isBusy(home, "d1") }
	w.eventually(isHeld)
	go owner.Drain(context.Background())
	w.eventually(func() bool { return stateAt(home, owner) == tlmember.StateDraining })
	assert.Never(t, func() bool { return !isHeld() }, 1500*time.Millisecond, 20*time.Millisecond)
	close(release)
	assert.Equal(t, threeEvents, (<-answered).body)
	w.eventually(func() bool { return !isHeld() })
}

// isBusy says whether an instance's book has requests at an engine.
func isBusy(i *Instance, engine string) bool {
	return slices.ContainsFunc(i.desk.Roles(tlstand.ModelService).Engines, func(e tlrole.Engine) bool {
		return e.ID == engine && e.IsBusy
	})
}

// stateAt returns what an instance believes of another.
func stateAt(i, of *Instance) tlmember.State {
	for _, k := range i.gossip.All() {
		if k.Name == of.settings.Name {
			return k.State
		}
	}
	return tlmember.StateGone
}
