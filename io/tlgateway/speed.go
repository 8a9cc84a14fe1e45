package tlgateway

import (
	"time"

	"trefoillanding/core/tlplace"
)

// maxWriteShare is the share of an answer's time that may pass in writing to its caller:
// beyond it the caller's speed is measured, not the engine's.
const maxWriteShare = 0.1

// answerSpeed measures the speed of an answer from its first event on.
type answerSpeed struct {
	// stride is the number of tokens in each event.
	stride int
	// first and last are when the first and the last events came, of which firstCount came at first.
	first, last       time.Time
	firstCount, count int
	writing           time.Duration
}

// newSpeed returns a measurement of an answer that begins; it measures none of an engine
// that another instance chose.
func (g *generation) newSpeed(p placement) answerSpeed {
	if p.isForwarded || g.x.service.Engine == nil {
		return answerSpeed{}
	}
	return answerSpeed{stride: g.x.service.Engine.Stride}
}

// add records that so many events in all have come.
func (s *answerSpeed) add(now time.Time, count int) {
	if s.firstCount == 0 {
		s.first, s.firstCount = now, count
	}
	s.last, s.count = now, count
}

// written records the time that it took to write events to the caller.
func (s *answerSpeed) written(took time.Duration) {
	s.writing += took
}

// take returns the measurement, if there is any, and forgets it.
func (s *answerSpeed) take() tlplace.Answer {
	m := *s
	*s = answerSpeed{}
	took, events := m.last.Sub(m.first), m.count-m.firstCount
	if events <= 0 || float64(m.writing) > maxWriteShare*float64(took) {
		return tlplace.Answer{}
	}
	return tlplace.Answer{Tokens: events * m.stride, Took: took}
}
