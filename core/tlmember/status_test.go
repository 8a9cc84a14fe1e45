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
