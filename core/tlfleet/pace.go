package tlfleet

import (
	"time"

	"trefoillanding/core/tlwire"
)

// LoadInterval returns how long a pool waits after it began one load before it begins
// the next, so that all pools of a service together stay within the weight
// store's rate: each takes a share in proportion to its engines.
func LoadInterval(w tlwire.WeightInfo, engines, allEngines int) time.Duration {
	if w.BytesPerSecond <= 0 || engines <= 0 {
		return 0
	}
	share := float64(w.BytesPerSecond) * float64(engines) / float64(max(allEngines, engines))
	return time.Duration(float64(w.Bytes) / share * float64(time.Second))
}
