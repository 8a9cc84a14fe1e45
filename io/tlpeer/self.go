package tlpeer

import "trefoillanding/core/tlwire"

// Self is what an instance tells of itself at each heartbeat.
type Self struct {
	Generation uint64
	Draining   bool
	Open       int
	Pools      []tlwire.PoolSummary
}
