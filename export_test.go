package trefoillanding

import (
	"trefoillanding/core/tlverdict"
)

// refusals returns the number of requests that the instance has refused, for any reason.
func (i *Instance) refusals() int64 {
	g := i.metrics.Group("Refusals")
	var n int64
	for _, r := range tlverdict.Reasons() {
		n += g.Value(string(r))
	}
	return n
}
