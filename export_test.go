package trefoillanding

import (
	"trefoillanding/core/tlverdict"
)

// refusals counts all refusals of an instance.
func (i *Instance) refusals() int64 {
	g := i.metrics.Group("Refusals")
	var n int64
	for _, r := range tlverdict.Reasons() {
		n += g.Value(string(r))
	}
	return n
}
