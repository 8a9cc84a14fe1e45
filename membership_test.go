package trefoillanding

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"trefoillanding/core/tlwire"
)

// Case 1: every name that was ever listed was kept for ever.
func TestOnlyDeclaredEndpointsAreRememberedAsGone(t *testing.T) {
	declares := func(name string) bool { return name == "engine" }
	first := stayingOf(tlwire.InstanceList{Instances: []tlwire.Instance{
		{Name: "engine", State: tlwire.InstanceStateLive},
		{Name: "entry", State: tlwire.InstanceStateLive},
	}}, nil, declares)
	assert.Equal(t, map[string]bool{"engine": true, "entry": true}, *first)
	assert.Equal(t, map[string]bool{"engine": false}, *stayingOf(tlwire.InstanceList{}, first, declares))
}
