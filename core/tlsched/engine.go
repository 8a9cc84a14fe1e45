package tlsched

import (
	"time"

	"trefoillanding/core/tllink"
	"trefoillanding/core/tlreserve"
	"trefoillanding/core/tlwire"
)

// maxCountedFailures limits an engine's suspension, which doubles with each failure counted after the first.
const maxCountedFailures = 6

// engine is what the scheduler knows of one engine.
type engine struct {
	name         string
	prefixNumber int
	role         tlwire.Role
	state        EngineState
	draining     bool
	removed      bool

	memory         *tlreserve.Memory
	link           *tllink.Link
	streams        int
	claimedPieces  int
	importedPieces int
	history        history

	queuedPrefills int
	prefillWork    time.Duration
	busySince      time.Time

	failures       int
	suspendedUntil time.Time
}

func newEngine(e tlwire.Engine, number, pieces int, linkRate int64) *engine {
	return &engine{
		name:         e.Name,
		prefixNumber: number,
		role:         e.Role,
		memory:       tlreserve.New(pieces),
		link:         tllink.New(linkRate),
	}
}

// isServing reports whether the engine is live and configured and not draining; a
// suspended engine counts, since it takes work again soon.
func (e *engine) isServing() bool {
	return e.state == EngineLive && !e.draining && !e.removed
}

func (e *engine) takesWork(now time.Time) bool {
	return e.isServing() && !now.Before(e.suspendedUntil)
}

func (e *engine) canPrefill() bool {
	return e.role != tlwire.RoleDecode
}

func (e *engine) canDecode() bool {
	return e.role != tlwire.RolePrefill
}

// availablePieces returns the pieces that no attempt holds and that are not claimed for a waiting request.
func (e *engine) availablePieces() int {
	return e.memory.Free() - e.claimedPieces
}

// readyAt returns when a prefill given to the engine now would start.
func (e *engine) readyAt(now time.Time) time.Time {
	if e.queuedPrefills == 0 {
		return now
	}
	if t := e.busySince.Add(e.prefillWork); t.After(now) {
		return t
	}
	return now
}

func (e *engine) beginPrefill(now time.Time, work time.Duration) {
	if e.queuedPrefills == 0 {
		e.busySince = now
	}
	e.queuedPrefills++
	e.prefillWork += work
}

func (e *engine) endPrefill(now time.Time, work time.Duration) {
	e.queuedPrefills--
	e.prefillWork -= work
	e.busySince = now
}

func (e *engine) recordFailure(now time.Time, base time.Duration) {
	e.failures = min(e.failures+1, maxCountedFailures)
	e.suspendedUntil = now.Add(base << (e.failures - 1))
}

func (e *engine) recordSuccess() {
	e.failures = 0
	e.suspendedUntil = time.Time{}
}
