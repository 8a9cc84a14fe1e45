package tlmodel

import (
	"slices"
	"time"

	"trefoillanding/core/tlwire"
)

// GrowthTimeout is how long a stream may stay paused for lack of free pieces
// before the engine fails it.
const GrowthTimeout = 500 * time.Millisecond

// DecodeEngine simulates a decode engine with continuous batching: each step
// decodes one token of every running stream that isn't paused.
type DecodeEngine struct {
	Name    string
	Link    *Link
	clock   *Clock
	model   tlwire.EngineModel
	alive   bool
	free    int
	streams []*Stream
	step    []*Stream
	epoch   uint64
}

// Stream is the state of one attempt at a decode engine. Prompt and End are in
// tokens; Pieces is the memory that it holds.
type Stream struct {
	Prompt int
	End    int
	Pieces int
	Token  func(index int)
	Failed func(reason string)

	nextToken int
	running   bool
	pausedAt  time.Time
	removed   bool
}

// NewDecodeEngine returns an idle engine with a link of its own.
func NewDecodeEngine(c *Clock, name string, m tlwire.EngineModel) *DecodeEngine {
	return &DecodeEngine{
		Name:  name,
		Link:  NewLink(c, m.LinkBytesPerSecond),
		clock: c,
		model: m,
		alive: true,
		free:  m.Pieces,
	}
}

// Alive reports whether the engine answers.
func (e *DecodeEngine) Alive() bool {
	return e.alive
}

// Free returns the number of pieces that no stream holds.
func (e *DecodeEngine) Free() int {
	return e.free
}

// Running returns the number of streams that are decoding, paused ones included.
func (e *DecodeEngine) Running() int {
	n := 0
	for _, s := range e.streams {
		if s.running {
			n++
		}
	}
	return n
}

// Release is the memory that a running stream will free, and the time when.
type Release struct {
	At     time.Time
	Pieces int
}

// Releases returns the expected release of each running stream at the present
// step time.
func (e *DecodeEngine) Releases() []Release {
	step := StepTime(e.model, e.Running())
	var l []Release
	for _, s := range e.streams {
		if s.running {
			left := time.Duration(s.End-s.nextToken) * step
			l = append(l, Release{At: e.clock.Now().Add(left), Pieces: s.Pieces})
		}
	}
	return l
}

// Import reserves memory for a stream whose next token has index first; it
// returns the reason if it refuses, otherwise an empty string.
func (e *DecodeEngine) Import(s *Stream, first int) string {
	if !e.alive {
		return ReasonDead
	}
	s.Pieces = max(s.Pieces, Pieces(e.model, s.Prompt+1))
	if s.Pieces > e.free {
		return ReasonFull
	}
	s.nextToken = first
	e.free -= s.Pieces
	e.streams = append(e.streams, s)
	return ""
}

// Decode starts decoding an imported stream.
func (e *DecodeEngine) Decode(s *Stream) {
	s.running = true
	if e.step == nil {
		e.scheduleStep()
	}
}

// Cancel removes a stream at any stage and frees its memory.
func (e *DecodeEngine) Cancel(s *Stream) {
	if s.removed || !slices.Contains(e.streams, s) {
		return
	}
	e.remove(s)
}

// Die makes the engine stop answering and fails every stream.
func (e *DecodeEngine) Die() {
	e.alive = false
	lost := slices.Clone(e.streams)
	for _, s := range lost {
		e.remove(s)
	}
	e.epoch++
	e.step = nil
	for _, s := range lost {
		s.Failed(ReasonDead)
	}
}

// Revive makes a dead engine accept work again.
func (e *DecodeEngine) Revive() {
	e.alive = true
}

// Load returns the load that the engine reports.
func (e *DecodeEngine) Load() tlwire.LoadReport {
	return tlwire.LoadReport{
		Name:        e.Name,
		Role:        tlwire.RoleDecode,
		PiecesTotal: e.model.Pieces,
		PiecesFree:  e.free,
		Running:     e.Running(),
		ReportedAt:  e.clock.Now(),
	}
}

func (e *DecodeEngine) scheduleStep() {
	e.step = e.step[:0]
	for _, s := range e.streams {
		if s.running && e.growForStep(s) {
			e.step = append(e.step, s)
		}
	}
	if len(e.step) == 0 && !e.anyPaused() {
		e.step = nil
		return
	}
	e.epoch++
	epoch := e.epoch
	e.clock.After(StepTime(e.model, len(e.step)), func() { e.finishStep(epoch) })
}

func (e *DecodeEngine) finishStep(epoch uint64) {
	if epoch != e.epoch {
		return
	}
	for _, s := range e.step {
		if s.removed {
			continue
		}
		i := s.nextToken
		s.nextToken++
		if s.nextToken >= s.End {
			e.remove(s)
		}
		s.Token(i)
	}
	if epoch != e.epoch {
		return
	}
	e.failPaused()
	e.scheduleStep()
}

func (e *DecodeEngine) growForStep(s *Stream) bool {
	need := Pieces(e.model, s.Prompt+s.nextToken+1) - s.Pieces
	if need > e.free {
		if s.pausedAt.IsZero() {
			s.pausedAt = e.clock.Now()
		}
		return false
	}
	if need > 0 {
		s.Pieces += need
		e.free -= need
	}
	s.pausedAt = time.Time{}
	return true
}

func (e *DecodeEngine) anyPaused() bool {
	return slices.ContainsFunc(e.streams, func(s *Stream) bool { return !s.pausedAt.IsZero() })
}

func (e *DecodeEngine) failPaused() {
	now := e.clock.Now()
	for _, s := range slices.Clone(e.streams) {
		if !s.pausedAt.IsZero() && now.Sub(s.pausedAt) >= GrowthTimeout {
			e.remove(s)
			s.Failed(ReasonFull)
			return
		}
	}
}

func (e *DecodeEngine) remove(s *Stream) {
	s.removed = true
	s.running = false
	e.free += s.Pieces
	e.streams = slices.DeleteFunc(e.streams, func(o *Stream) bool { return o == s })
}

// Pieces returns the number of pieces needed for the given number of tokens.
func Pieces(m tlwire.EngineModel, tokens int) int {
	return (tokens + m.PieceTokens - 1) / m.PieceTokens
}

// StepTime returns the duration of a decode step with the given number of
// streams.
func StepTime(m tlwire.EngineModel, streams int) time.Duration {
	return m.StepBase + time.Duration(streams)*m.StepPerStream
}
