package tlsched

import (
	"time"

	"trefoillanding/core/tllink"
	"trefoillanding/core/tlreserve"
	"trefoillanding/core/tlwire"
)

const maxDoublings = 6

// engine is what the scheduler knows of one engine.
type engine struct {
	name     string
	number   int
	role     tlwire.Role
	state    EngineState
	draining bool
	removed  bool

	memory   *tlreserve.Memory
	link     *tllink.Link
	streams  int
	claimed  int
	imported int
	history  history

	prefills int
	work     time.Duration
	since    time.Time

	failures  int
	suspended time.Time
}

func newEngine(e tlwire.Engine, number, pieces int, linkRate int64) *engine {
	return &engine{
		name:   e.Name,
		number: number,
		role:   e.Role,
		memory: tlreserve.New(pieces),
		link:   tllink.New(linkRate),
	}
}

// isServing says whether the engine is one of those that new work may count on, now or soon.
func (e *engine) isServing() bool {
	return e.state == EngineLive && !e.draining && !e.removed
}

func (e *engine) takesWork(now time.Time) bool {
	return e.isServing() && !now.Before(e.suspended)
}

func (e *engine) prefillsToo() bool {
	return e.role != tlwire.RoleDecode
}

func (e *engine) decodesToo() bool {
	return e.role != tlwire.RolePrefill
}

// available returns the pieces that no attempt holds and no waiting request has claimed.
func (e *engine) available() int {
	return e.memory.Free() - e.claimed
}

// ready returns when a prefill given to the engine now would start.
func (e *engine) ready(now time.Time) time.Time {
	if e.prefills == 0 {
		return now
	}
	if t := e.since.Add(e.work); t.After(now) {
		return t
	}
	return now
}

func (e *engine) beginPrefill(now time.Time, work time.Duration) {
	if e.prefills == 0 {
		e.since = now
	}
	e.prefills++
	e.work += work
}

func (e *engine) endPrefill(now time.Time, work time.Duration) {
	e.prefills--
	e.work -= work
	e.since = now
}

func (e *engine) failed(now time.Time, base time.Duration) {
	e.failures = min(e.failures+1, maxDoublings)
	e.suspended = now.Add(base << (e.failures - 1))
}

func (e *engine) worked() {
	e.failures = 0
	e.suspended = time.Time{}
}
