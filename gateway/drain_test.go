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

// homeAndOther returns the home of the engine service and another instance.
func homeAndOther(all []*Instance) (home, other *Instance) {
	name := all[0].gossip.Oldest(tlstand.ModelService, homeCandidates)
	k := slices.IndexFunc(all, func(i *Instance) bool { return i.settings.Name == name })
	return all[k], all[(k+1)%len(all)]
}

// holdUntil makes an engine hold requests until a channel is closed or their caller disconnects.
func holdUntil(release <-chan struct{}, e *tlstand.Endpoint) {
	e.Intercept = func(_ http.ResponseWriter, r *http.Request, _ *tlstand.Arrival) bool {
		select {
		case <-release:
		case <-r.Context().Done():
		}
		return false
	}
}

// Guards against requests that wait for ever because the home where they were
// queued stopped being the home.
func TestARequestThatWaitsWhileItsHomeLeavesIsPlacedByTheNext(t *testing.T) {
	w := newTestCluster(t)
	w.startEngine("p", "prefill")
	e := w.startEngine("d1", "decode")
	release := make(chan struct{})
	holdUntil(release, e)
	all := w.startFleet(3)
	home, owner := homeAndOther(all)
	large := func(id string) tlstand.Call {
		c := streamCall(id, tlstand.StreamPath)
		c.PromptTokens, c.Deadline = 25_000, 4*time.Second
		return c
	}
	answers := make(chan answer, 2)
	go func() { answers <- w.call(owner, large("first")) }()
	w.eventually(func() bool { return len(e.Arrivals()) == 1 })
	go func() { answers <- w.call(owner, large("second")) }()
	w.eventually(func() bool { return home.coordinator.Roles(tlstand.ModelService).Waiting == 1 })
	go home.Drain(context.Background())
	w.eventually(func() bool { return owner.gossip.Oldest(tlstand.ModelService, homeCandidates) != home.settings.Name })
	close(release)
	for range 2 {
		assert.Equal(t, threeEvents, (<-answers).body)
	}
}

// Guards against a draining instance that counts as gone while it still serves, so
// that the reservations of its requests are given to others.
func TestPlacesOfAnInstanceThatLeavesAreItsOwnUntilItEnds(t *testing.T) {
	w := newTestCluster(t)
	w.startEngine("p", "prefill")
	e := w.startEngine("d1", "decode")
	release := make(chan struct{})
	holdUntil(release, e)
	all := w.startFleet(3)
	home, owner := homeAndOther(all)
	answered := make(chan answer, 1)
	go func() {
		c := streamCall("first", tlstand.StreamPath)
		c.Deadline = testTimeout
		answered <- w.call(owner, c)
	}()
	w.eventually(func() bool { return len(e.Arrivals()) == 1 })
	isHeld := func() bool { return isBusy(home, "d1") }
	w.eventually(isHeld)
	go owner.Drain(context.Background())
	w.eventually(func() bool { return peerState(home, owner) == tlmember.StateDraining })
	assert.Never(t, func() bool { return !isHeld() }, 1500*time.Millisecond, 20*time.Millisecond)
	close(release)
	assert.Equal(t, threeEvents, (<-answered).body)
	w.eventually(func() bool { return !isHeld() })
}

// isBusy reports whether an instance's coordinator has requests at an engine.
func isBusy(i *Instance, engine string) bool {
	return slices.ContainsFunc(i.coordinator.Roles(tlstand.ModelService).Engines, func(e tlrole.Engine) bool {
		return e.ID == engine && e.IsBusy
	})
}

// peerState returns the state of another instance as i sees it.
func peerState(i, of *Instance) tlmember.State {
	for _, k := range i.gossip.All() {
		if k.Name == of.settings.Name {
			return k.State
		}
	}
	return tlmember.StateGone
}
