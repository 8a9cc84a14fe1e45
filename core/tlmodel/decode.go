package tlmodel

import (
	"slices"
	"time"

	"trefoillanding/core/tlwire"
)

// GrowthTimeout is how long a stream without memory to grow into pauses before
// the engine ends it.
const GrowthTimeout = 500 * time.Millisecond

// DecodeEngine decodes its streams step by step, all of them in each step.
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

// Stream is what one attempt holds at a decode engine.
type Stream struct {
	Prompt int
	End    int
	Pieces int
	Token  func(index int)
	Failed func(reason string)

	next    int
	running bool
	paused  time.Time
	gone    bool
}

// NewDecodeEngine returns an idle engine with its own link.
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

// Alive says that the engine answers.
func (e *DecodeEngine) Alive() bool {
	return e.alive
}

// Free returns how many pieces nobody holds.
func (e *DecodeEngine) Free() int {
	return e.free
}

// Running returns how many streams decode.
func (e *DecodeEngine) Running() int {
	n := 0
	for _, s := range e.streams {
		if s.running {
			n++
		}
	}
	return n
}

// Release is memory that a stream is about to give back.
type Release struct {
	At     time.Time
	Pieces int
}

// Releases returns when the running streams will end at the present pace.
func (e *DecodeEngine) Releases() []Release {
	step := StepTime(e.model, e.Running())
	var l []Release
	for _, s := range e.streams {
		if s.running {
			left := time.Duration(s.End-s.next) * step
			l = append(l, Release{At: e.clock.Now().Add(left), Pieces: s.Pieces})
		}
	}
	return l
}

// Import takes memory for a stream that starts at token first; it returns a
// reason on refusal.
func (e *DecodeEngine) Import(s *Stream, first int) string {
	if !e.alive {
		return ReasonDead
	}
	s.Pieces = max(s.Pieces, Pieces(e.model, s.Prompt+1))
	if s.Pieces > e.free {
		return ReasonFull
	}
	s.next = first
	e.free -= s.Pieces
	e.streams = append(e.streams, s)
	return ""
}

// Decode starts to decode an imported stream.
func (e *DecodeEngine) Decode(s *Stream) {
	s.running = true
	if e.step == nil {
		e.plan()
	}
}

// Cancel ends a stream at any stage.
func (e *DecodeEngine) Cancel(s *Stream) {
	if s.gone || !slices.Contains(e.streams, s) {
		return
	}
	e.remove(s)
}

// Die loses every stream.
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

// Revive lets a dead engine take work again.
func (e *DecodeEngine) Revive() {
	e.alive = true
}

// Load returns the engine's view of its load.
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

func (e *DecodeEngine) plan() {
	e.step = e.step[:0]
	for _, s := range e.streams {
		if s.running && e.mayStep(s) {
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
		if s.gone {
			continue
		}
		i := s.next
		s.next++
		if s.next >= s.End {
			e.remove(s)
		}
		s.Token(i)
	}
	if epoch != e.epoch {
		return
	}
	e.failPaused()
	e.plan()
}

func (e *DecodeEngine) mayStep(s *Stream) bool {
	need := Pieces(e.model, s.Prompt+s.next+1) - s.Pieces
	if need > e.free {
		if s.paused.IsZero() {
			s.paused = e.clock.Now()
		}
		return false
	}
	if need > 0 {
		s.Pieces += need
		e.free -= need
	}
	s.paused = time.Time{}
	return true
}

func (e *DecodeEngine) anyPaused() bool {
	return slices.ContainsFunc(e.streams, func(s *Stream) bool { return !s.paused.IsZero() })
}

func (e *DecodeEngine) failPaused() {
	now := e.clock.Now()
	for _, s := range slices.Clone(e.streams) {
		if !s.paused.IsZero() && now.Sub(s.paused) >= GrowthTimeout {
			e.remove(s)
			s.Failed(ReasonFull)
			return
		}
	}
}

func (e *DecodeEngine) remove(s *Stream) {
	s.gone = true
	s.running = false
	e.free += s.Pieces
	e.streams = slices.DeleteFunc(e.streams, func(o *Stream) bool { return o == s })
}

// Pieces returns how many pieces hold so many tokens.
func Pieces(m tlwire.EngineModel, tokens int) int {
	return (tokens + m.PieceTokens - 1) / m.PieceTokens
}

// StepTime returns how long a step with so many streams takes.
func StepTime(m tlwire.EngineModel, streams int) time.Duration {
	return m.StepBase + time.Duration(streams)*m.StepPerStream
}
