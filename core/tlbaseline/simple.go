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
	retryDelay  = 20 * time.Millisecond
	maxAttempts = 4
)

// Simple is a policy that starts each prefill at once and chooses a decode engine
// only when the prefill has ended. It selects engines from their last load reports.
type Simple struct {
	pool     tlwire.Pool
	bounds   tlwire.Bounds
	prefills selector
	decodes  selector
	engines  []*engine
	requests map[string]*job
	held     []*job
	steps    []tlwire.Step
}

type job struct {
	tlwire.Submission
	number       int
	attempt      string
	source       string
	beforeDecode bool
	retryAt      time.Time
	heldUntil    time.Time
}

func newSimple(p tlwire.Pool, b tlwire.Bounds, prefills, decodes selector) *Simple {
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

// Policy returns the functions of the baseline as a Policy.
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
	return s.takeSteps()
}

func (s *Simple) waiting() int {
	n := 0
	for _, j := range s.requests {
		if j.beforeDecode {
			n++
		}
	}
	return n
}

func (s *Simple) start(j *job) {
	j.number++
	j.beforeDecode = true
	j.attempt = fmt.Sprintf("%s.%s.%d", j.Owner, j.Request, j.number)
	e := s.prefills(s.live(tlwire.RolePrefill))
	if e == nil || j.number > maxAttempts {
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
		s.removeHeld(j)
		delete(s.requests, j.Request)
	case tlwire.ReportKindPrefillDone:
		j.heldUntil = now.Add(r.HeldFor)
		s.startTransfer(j)
	case tlwire.ReportKindTransferFailed, tlwire.ReportKindTransferStalled:
		s.retryTransfer(now, j)
	case tlwire.ReportKindTransferDone:
		j.beforeDecode = false
	case tlwire.ReportKindPrefillFailed, tlwire.ReportKindDecodeFailed:
		j.addDelivered(r.Tokens)
		s.restart(j)
	}
	return s.takeSteps()
}

func (j *job) addDelivered(tokens int) {
	if n := tokens - j.Delivered; n > 0 {
		j.Delivered += n
		j.PromptTokens += n
		j.MaxTokens -= n
	}
}

func (s *Simple) startTransfer(j *job) {
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

func (s *Simple) retryTransfer(now time.Time, j *job) {
	if !now.Add(retryDelay).Before(j.heldUntil) {
		s.restart(j)
		return
	}
	j.retryAt = now.Add(retryDelay)
	s.held = append(s.held, j)
}

func (s *Simple) restart(j *job) {
	s.removeHeld(j)
	s.steps = append(s.steps, tlwire.Step{Request: j.Request, Attempt: j.attempt, Kind: tlwire.StepKindAbandon})
	s.start(j)
}

func (s *Simple) removeHeld(j *job) {
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
		s.startTransfer(j)
	}
	return s.takeSteps()
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

func (s *Simple) takeSteps() []tlwire.Step {
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
