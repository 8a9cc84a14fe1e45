package tlfleet

import (
	"time"

	"trefoillanding/core/tlwire"
)

// LoadInterval returns the time between the starts of two loads in a pool. It keeps
// all pools of a service together within the weight store's rate: each pool gets a
// share in proportion to its number of engines.
func LoadInterval(w tlwire.WeightInfo, engines, allEngines int) time.Duration {
	if w.BytesPerSecond <= 0 || engines <= 0 {
		return 0
	}
	share := float64(w.BytesPerSecond) * float64(engines) / float64(max(allEngines, engines))
	return time.Duration(float64(w.Bytes) / share * float64(time.Second))
}
