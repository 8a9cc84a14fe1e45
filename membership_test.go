package trefoillanding

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"trefoillanding/core/tlwire"
)

// Guards against unbounded growth: every name that was ever listed used to be kept.
func TestOnlyDeclaredEndpointsAreKeptAfterLeavingList(t *testing.T) {
	declares := func(name string) bool { return name == "engine" }
	first := mergeListedLive(tlwire.InstanceList{Instances: []tlwire.Instance{
		{Name: "engine", State: tlwire.InstanceStateLive},
		{Name: "entry", State: tlwire.InstanceStateLive},
	}}, nil, declares)
	assert.Equal(t, map[string]bool{"engine": true, "entry": true}, *first)
	assert.Equal(t, map[string]bool{"engine": false}, *mergeListedLive(tlwire.InstanceList{}, first, declares))
}
