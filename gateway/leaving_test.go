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

// A home that was one no more once let those wait for ever who had asked it.
func TestARequestThatWaitsWhileItsHomeLeavesIsPlacedByTheNext(t *testing.T) {
	w := newWorld(t)
	w.engine("p", "prefill")
	e := w.engine("d1", "decode")
	release := make(chan struct{})
	e.Before = func(_ http.ResponseWriter, _ *http.Request, a *tlstand.Arrival) bool {
		if a.ID == "first" {
			<-release
		}
		return false
	}
	all := w.fleet(3)
	home := all[0].gossip.Oldest(tlstand.ModelService, homeChoices)
	k := slices.IndexFunc(all, func(i *Instance) bool { return i.settings.Name == home })
	owner := all[(k+1)%len(all)]
	large := func(id string) tlstand.Call {
		c := stream(id, tlstand.StreamPath)
		c.Prompt, c.Deadline = 25_000, 4*time.Second
		return c
	}
	answers := make(chan answer, 2)
	go func() { answers <- w.call(owner, large("first")) }()
	w.eventually(func() bool { return len(e.Arrivals()) == 1 })
	go func() { answers <- w.call(owner, large("second")) }()
	w.eventually(func() bool { return all[k].desk.Roles(tlstand.ModelService).Waiting == 1 })
	go all[k].Drain(context.Background())
	w.eventually(func() bool { return owner.gossip.Oldest(tlstand.ModelService, homeChoices) != home })
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
	e.Before = func(http.ResponseWriter, *http.Request, *tlstand.Arrival) bool {
		<-release
		return false
	}
	all := w.fleet(3)
	home := all[0].gossip.Oldest(tlstand.ModelService, homeChoices)
	k := slices.IndexFunc(all, func(i *Instance) bool { return i.settings.Name == home })
	owner := all[(k+1)%len(all)]
	answered := make(chan answer, 1)
	go func() {
		c := stream("first", tlstand.StreamPath)
		c.Deadline = patience
		answered <- w.call(owner, c)
	}()
	w.eventually(func() bool { return len(e.Arrivals()) == 1 })
	isHeld := func() bool { return isBusy(all[k], "d1") }
	w.eventually(isHeld)
	go owner.Drain(context.Background())
	w.eventually(func() bool { return stateAt(all[k], owner) == tlmember.StateDraining })
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
