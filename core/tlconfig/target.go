package tlconfig

import "trefoillanding/core/tlwire"

// Target is what the model field of a completion names.
type Target struct {
	Service tlwire.Service
	Model   tlwire.Model
	Adapter string
}

// TargetFor returns what a name stands for: a service (with its first model),
// one of its models, or one of their adapters.
func (c *Config) TargetFor(model string) (Target, bool) {
	t, ok := c.targets[model]
	return t, ok
}
