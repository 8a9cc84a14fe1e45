package tlpeer

import "trefoillanding/core/tlwire"

// LocalState is the state of this instance that it gossips at each heartbeat.
type LocalState struct {
	// Generation is the generation of the configuration in force.
	Generation uint64
	Draining   bool
	// Open is the number of open requests.
	Open  int
	Pools []tlwire.PoolSummary
}
