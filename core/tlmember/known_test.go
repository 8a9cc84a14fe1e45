package tlmember

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"trefoillanding/core/tlwire"
)

func TestAllTellsEveryListedInstance(t *testing.T) {
	now := time.Unix(1000, 0)
	v := New("a", Times{SuspectAfter: time.Second, GoneAfter: time.Second})
	v.SetInstances(now, tlwire.InstanceList{Instances: []tlwire.Instance{
		{Name: "a", Kind: tlwire.InstanceKindEntry, State: tlwire.InstanceStateLive},
		{Name: "b", Kind: tlwire.InstanceKindEntry, State: tlwire.InstanceStateLeaving},
		{Name: "c", Kind: tlwire.InstanceKindEntry, State: tlwire.InstanceStateLive},
		{Name: "d", Kind: tlwire.InstanceKindEntry, State: tlwire.InstanceStateLive},
	}})
	v.Heard(now, "c", 1, true)
	v.Doubt(now, "d")
	states := map[string]State{}
	for _, k := range v.All(now) {
		states[k.Name] = k.State
	}
	assert.Equal(t, map[string]State{"a": StateLive, "b": StateLeaving, "c": StateDraining, "d": StateSuspected}, states)
	assert.Equal(t, StateGone, v.All(now.Add(time.Minute))[3].State)
}
