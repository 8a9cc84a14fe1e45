package tlpeer

import "trefoillanding/core/tlwire"

// LocalState is what an instance tells of itself at each heartbeat.
type LocalState struct {
	Generation uint64
	Draining   bool
	Open       int
	Pools      []tlwire.PoolSummary
}
