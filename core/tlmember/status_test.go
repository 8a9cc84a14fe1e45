package tlmember

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"trefoillanding/core/tlwire"
)

func TestAllReturnsEveryListedInstance(t *testing.T) {
	now := time.Unix(1000, 0)
	v := New("a", Timeouts{SuspectAfter: time.Second, GoneAfter: time.Second})
	v.SetInstances(now, tlwire.InstanceList{Instances: []tlwire.Instance{
		{Name: "a", Kind: tlwire.InstanceKindEntry, State: tlwire.InstanceStateLive},
		{Name: "b", Kind: tlwire.InstanceKindEntry, State: tlwire.InstanceStateLeaving},
		{Name: "c", Kind: tlwire.InstanceKindEntry, State: tlwire.InstanceStateLive},
		{Name: "d", Kind: tlwire.InstanceKindEntry, State: tlwire.InstanceStateLive},
	}})
	v.RecordHeard(now, "c", 1, true)
	v.Suspect(now, "d")
	states := map[string]State{}
	for _, k := range v.All(now) {
		states[k.Name] = k.State
	}
	assert.Equal(t, map[string]State{"a": StateLive, "b": StateLeaving, "c": StateDraining, "d": StateSuspected}, states)
	assert.Equal(t, StateGone, v.All(now.Add(time.Minute))[3].State)
}

// Guards against a draining instance that is taken for live again, and may become a home,
// since it asked about another, and against its next process that is taken for draining.
func TestInstanceDrainsUntilItSaysOtherwiseOrStartsAgain(t *testing.T) {
	now := time.Unix(1000, 0)
	v := New("a", Timeouts{SuspectAfter: time.Second, GoneAfter: time.Second})
	v.SetInstances(now, tlwire.InstanceList{Instances: []tlwire.Instance{
		{Name: "b", Kind: tlwire.InstanceKindEntry, State: tlwire.InstanceStateLive, Incarnation: 3},
	}})
	state := func() State { return v.All(now)[0].State }
	at := func(s int) time.Time { return now.Add(time.Duration(s) * time.Second) }
	v.RecordHeard(at(1), "b", 3, true)
	v.RecordSign(at(2), "b", 3)
	assert.Equal(t, StateDraining, state(), "it asked about another")
	v.ApplySighting(at(4), tlwire.Sighting{Name: "b", Incarnation: 3, HeardAgo: time.Second})
	assert.Equal(t, StateDraining, state(), "a peer has heard from it")
	v.ApplySighting(at(6), tlwire.Sighting{Name: "b", Incarnation: 4, HeardAgo: time.Second})
	assert.Equal(t, StateLive, state(), "a peer has heard from its next process")
}

func TestRestartIsKnownFromItsFirstSign(t *testing.T) {
	now := time.Unix(1000, 0)
	v := New("a", Timeouts{SuspectAfter: time.Second, GoneAfter: time.Second})
	l := tlwire.InstanceList{Instances: []tlwire.Instance{
		{Name: "b", Kind: tlwire.InstanceKindEntry, State: tlwire.InstanceStateLive, Incarnation: 3},
		{Name: "c", Kind: tlwire.InstanceKindEntry, State: tlwire.InstanceStateLive, Incarnation: 4},
	}}
	v.SetInstances(now, l)
	v.RecordHeard(now, "b", 3, false)
	v.RecordHeard(now, "c", 4, false)
	for _, k := range v.All(now) {
		assert.Zero(t, k.RestartedAt, "the first process that is known of %s", k.Name)
	}
	v.RecordHeard(now.Add(time.Second), "b", 5, false)
	l.Instances[0].Incarnation, l.Instances[1].Incarnation = 5, 6
	v.SetInstances(now.Add(2*time.Second), l)
	v.RecordHeard(now.Add(3*time.Second), "c", 6, false)
	assert.Equal(t, now.Add(time.Second), v.All(now)[0].RestartedAt, "heard of")
	assert.Equal(t, now.Add(2*time.Second), v.All(now)[1].RestartedAt, "listed")
}
