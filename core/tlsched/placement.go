package tlsched

import (
	"time"

	"trefoillanding/core/tlwire"
)

const (
	defaultPieceTokens = 2000
	assumedAnswer      = 300
)

// place starts all work for which there is room.
func (s *Scheduler) place(now time.Time) {
	s.expire(now)
	s.placeHeld(now)
	for len(s.waiting) > 0 {
		if !s.start(now, s.waiting[0]) {
			return
		}
		s.waiting = s.waiting[1:]
	}
}

func (s *Scheduler) expire(now time.Time) {
	for i := 0; i < len(s.held); {
		r := s.held[i]
		if now.Before(r.heldUntil) {
			i++
			continue
		}
		s.counts[PrefillWasted]++
		s.retry(r, RetriedResultLapsed)
	}
}

func (s *Scheduler) placeHeld(now time.Time) {
	for i := 0; i < len(s.held); {
		r := s.held[i]
		d := s.decodeFor(now, s.need(r))
		if d == nil {
			i++
			continue
		}
		s.held = without(s.held, r)
		s.reserve(r, d)
		s.transfer(r)
	}
}

func (s *Scheduler) start(now time.Time, r *request) bool {
	p := s.prefillFor(now)
	d := s.decodeFor(now, s.need(r))
	if p == nil || d == nil {
		return false
	}
	s.reserve(r, d)
	r.stage = StagePrefilling
	r.prefill = p
	r.work = r.PromptTokens
	p.prefills++
	p.work += r.work
	t := r.step(tlwire.StepKindStartPrefill)
	t.Engine = p.name
	t.Pieces = r.pieces
	s.steps = append(s.steps, t)
	return true
}

func (s *Scheduler) reserve(r *request, d *engine) {
	r.decode = d
	r.pieces = s.need(r)
	d.held += r.pieces
	d.streams++
}

func (s *Scheduler) transfer(r *request) {
	r.stage = StageTransferring
	t := r.step(tlwire.StepKindStartTransfer)
	t.Engine = r.decode.name
	t.Pieces = r.pieces
	s.steps = append(s.steps, t)
}

func (s *Scheduler) prefillFor(now time.Time) *engine {
	var b *engine
	for _, e := range s.order {
		if !e.prefillsToo() || !e.takesWork(now) || e.prefills >= s.options.PrefillDepth {
			continue
		}
		if b == nil || e.work < b.work {
			b = e
		}
	}
	return b
}

// decodeFor returns the engine with most free pieces, if they suffice.
func (s *Scheduler) decodeFor(now time.Time, need int) *engine {
	var b *engine
	for _, e := range s.order {
		if !e.decodesToo() || !e.takesWork(now) || e.streams >= s.options.DecodeStreams || e.free() < need {
			continue
		}
		if b == nil || e.free() > b.free() {
			b = e
		}
	}
	return b
}

// need returns the pieces that the prompt and the expected answer take.
func (s *Scheduler) need(r *request) int {
	return s.pieces(r.PromptTokens + min(r.MaxTokens, assumedAnswer))
}

func (s *Scheduler) pieces(tokens int) int {
	n := s.pool.PieceTokens
	if n == 0 {
		n = defaultPieceTokens
	}
	return max((tokens+n-1)/n, 1)
}
