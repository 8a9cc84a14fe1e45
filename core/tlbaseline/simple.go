package tlbaseline

import (
	"fmt"
	"slices"
	"time"

	"trefoillanding/core/tlsched"
	"trefoillanding/core/tlverdict"
	"trefoillanding/core/tlwire"
)

const (
	retryDelay = 20 * time.Millisecond
	attempts   = 4
)

// Simple starts each prefill at once and looks for a decode engine when it has
// ended; engines are picked by a choice from their last load reports.
type Simple struct {
	pool     tlwire.Pool
	bounds   tlwire.Bounds
	prefills choice
	decodes  choice
	engines  []*engine
	requests map[string]*job
	held     []*job
	steps    []tlwire.Step
}

type job struct {
	tlwire.Submission
	number   int
	attempt  string
	source   string
	early    bool
	retryAt  time.Time
	lapsesAt time.Time
}

func newSimple(p tlwire.Pool, b tlwire.Bounds, prefills, decodes choice) *Simple {
	s := &Simple{
		pool:     p,
		bounds:   b,
		prefills: prefills,
		decodes:  decodes,
		requests: make(map[string]*job),
	}
	for _, e := range p.Engines {
		s.engines = append(s.engines, &engine{name: e.Name, role: e.Role})
	}
	return s
}

// Policy returns the baseline as a policy.
func (s *Simple) Policy() Policy {
	return Policy{
		Submit:      s.submit,
		Report:      s.report,
		Load:        s.load,
		CacheEvents: func(time.Time, string, tlwire.CacheEvents) {},
		Engine:      s.engine,
		Tick:        s.tick,
		Next:        s.next,
		Summary:     s.summary,
		Count:       func(func(string, uint64)) {},
	}
}

func (s *Simple) submit(_ time.Time, q tlwire.Submission) []tlwire.Step {
	j := &job{Submission: q}
	if s.bounds.QueueLength > 0 && s.waiting() >= s.bounds.QueueLength {
		return []tlwire.Step{refusal(j, tlverdict.QueueFull)}
	}
	s.requests[q.Request] = j
	s.start(j)
	return s.take()
}

func (s *Simple) waiting() int {
	n := 0
	for _, j := range s.requests {
		if j.early {
			n++
		}
	}
	return n
}

func (s *Simple) start(j *job) {
	j.number++
	j.early = true
	j.attempt = fmt.Sprintf("%s.%s.%d", j.Owner, j.Request, j.number)
	e := s.prefills(s.live(tlwire.RolePrefill))
	if e == nil || j.number > attempts {
		delete(s.requests, j.Request)
		s.steps = append(s.steps, refusal(j, tlverdict.RetriesSpent))
		return
	}
	j.source = e.name
	s.steps = append(s.steps, tlwire.Step{
		Request: j.Request,
		Attempt: j.attempt,
		Kind:    tlwire.StepKindStartPrefill,
		Engine:  e.name,
	})
}

func (s *Simple) report(now time.Time, r tlwire.Report) []tlwire.Step {
	j := s.requests[r.Request]
	if j == nil || (r.Attempt != j.attempt && r.Kind != tlwire.ReportKindCancelled) {
		return nil
	}
	switch r.Kind {
	case tlwire.ReportKindCancelled, tlwire.ReportKindFinished:
		s.unhold(j)
		delete(s.requests, j.Request)
	case tlwire.ReportKindPrefillDone:
		j.lapsesAt = now.Add(r.HeldFor)
		s.move(j)
	case tlwire.ReportKindTransferFailed, tlwire.ReportKindTransferStalled:
		s.again(now, j)
	case tlwire.ReportKindTransferDone:
		j.early = false
	case tlwire.ReportKindPrefillFailed, tlwire.ReportKindDecodeFailed:
		j.deliver(r.Tokens)
		s.restart(j)
	}
	return s.take()
}

func (j *job) deliver(tokens int) {
	if n := tokens - j.Delivered; n > 0 {
		j.Delivered += n
		j.PromptTokens += n
		j.MaxTokens -= n
	}
}

func (s *Simple) move(j *job) {
	e := s.decodes(inPool(s.live(tlwire.RoleDecode), poolOf(j.source)))
	if e == nil {
		s.restart(j)
		return
	}
	s.steps = append(s.steps, tlwire.Step{
		Request: j.Request,
		Attempt: j.attempt,
		Kind:    tlwire.StepKindStartTransfer,
		Engine:  e.name,
		Pieces:  (j.PromptTokens + j.MaxTokens + s.pool.PieceTokens - 1) / s.pool.PieceTokens,
	})
}

func inPool(l []*engine, pool string) []*engine {
	return slices.DeleteFunc(l, func(e *engine) bool { return poolOf(e.name) != pool })
}

func (s *Simple) again(now time.Time, j *job) {
	if !now.Add(retryDelay).Before(j.lapsesAt) {
		s.restart(j)
		return
	}
	j.retryAt = now.Add(retryDelay)
	s.held = append(s.held, j)
}

func (s *Simple) restart(j *job) {
	s.unhold(j)
	s.steps = append(s.steps, tlwire.Step{Request: j.Request, Attempt: j.attempt, Kind: tlwire.StepKindAbandon})
	s.start(j)
}

func (s *Simple) unhold(j *job) {
	s.held = slices.DeleteFunc(s.held, func(o *job) bool { return o == j })
}

func (s *Simple) load(_ time.Time, l tlwire.LoadReport) []tlwire.Step {
	for _, e := range s.engines {
		if e.name == l.Name && !l.ReportedAt.Before(e.load.ReportedAt) {
			e.load = l
		}
	}
	return nil
}

func (s *Simple) engine(_ time.Time, name string, t tlsched.EngineState) []tlwire.Step {
	for _, e := range s.engines {
		if e.name == name {
			e.down = t != tlsched.EngineLive
		}
	}
	return nil
}

func (s *Simple) tick(now time.Time) []tlwire.Step {
	var due []*job
	s.held = slices.DeleteFunc(s.held, func(j *job) bool {
		if j.retryAt.After(now) {
			return false
		}
		due = append(due, j)
		return true
	})
	for _, j := range due {
		s.move(j)
	}
	return s.take()
}

func (s *Simple) next() time.Time {
	var t time.Time
	for _, j := range s.held {
		if t.IsZero() || j.retryAt.Before(t) {
			t = j.retryAt
		}
	}
	return t
}

func (s *Simple) summary(time.Time) tlwire.PoolSummary {
	p := tlwire.PoolSummary{Pool: s.pool.Name, Waiting: s.waiting()}
	for _, e := range s.live(tlwire.RoleDecode) {
		p.PiecesTotal += e.load.PiecesTotal
		p.PiecesFree += e.load.PiecesFree
	}
	return p
}

func (s *Simple) live(r tlwire.Role) []*engine {
	var l []*engine
	for _, e := range s.engines {
		if e.role == r && !e.down {
			l = append(l, e)
		}
	}
	return l
}

func (s *Simple) take() []tlwire.Step {
	t := s.steps
	s.steps = nil
	return t
}

func refusal(j *job, v tlverdict.Reason) tlwire.Step {
	return tlwire.Step{
		Request:    j.Request,
		Attempt:    j.attempt,
		Kind:       tlwire.StepKindRefuse,
		Reason:     string(v),
		RetryAfter: time.Second,
	}
}
