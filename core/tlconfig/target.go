package tlconfig

import "trefoillanding/core/tlwire"

// Target is the service, model and adapter that the model field of a completion selects.
type Target struct {
	Service tlwire.Service
	Model   tlwire.Model
	Adapter string
}

// TargetFor returns the target that a name selects: a service (with its first
// model), one of its models, or one of their adapters.
func (c *Config) TargetFor(model string) (Target, bool) {
	t, ok := c.targets[model]
	return t, ok
}
