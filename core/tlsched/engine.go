package tlsched

import (
	"time"

	"trefoillanding/core/tlwire"
)

// engine is what the scheduler knows of one engine.
type engine struct {
	name      string
	role      tlwire.Role
	state     EngineState
	draining  bool
	pieces    int
	held      int
	streams   int
	prefills  int
	work      int
	failures  int
	suspended time.Time
}

func newEngine(e tlwire.Engine, pieces int) *engine {
	return &engine{name: e.Name, role: e.Role, pieces: pieces}
}

func (e *engine) takesWork(now time.Time) bool {
	return e.state == EngineLive && !e.draining && !now.Before(e.suspended)
}

func (e *engine) prefillsToo() bool {
	return e.role != tlwire.RoleDecode
}

func (e *engine) decodesToo() bool {
	return e.role != tlwire.RolePrefill
}

func (e *engine) free() int {
	return e.pieces - e.held
}

func (e *engine) failed(now time.Time, base time.Duration) {
	e.failures = min(e.failures+1, maxDoublings)
	e.suspended = now.Add(base << (e.failures - 1))
}

func (e *engine) worked() {
	e.failures = 0
	e.suspended = time.Time{}
}

const maxDoublings = 6
