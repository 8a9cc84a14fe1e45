package tltrial

import (
	"time"

	"trefoillanding/core/tlmodel"
	"trefoillanding/core/tlwire"
	"trefoillanding/core/tlworkload"
)

// progressTokens is how many tokens an owner lets pass between two reports.
const progressTokens = 50

// lateGaps is the part of gaps between tokens that a good request may have
// above the target.
const lateGaps = 0.05

// call is a request at its owner.
type call struct {
	trial     *Trial
	request   *tlworkload.Request
	arrived   time.Time
	home      *home
	homes     []*home
	visits    int
	tries     int
	losses    int
	attempt   *attempt
	delivered int
	first     time.Time
	last      time.Time
	late      int
	ended     bool
	measured  bool
}

func (t *Trial) arrive(r *tlworkload.Request) *call {
	x := t.setting.Experiment
	c := &call{
		trial:    t,
		request:  r,
		arrived:  t.clock.Now(),
		measured: r.At >= x.Warmup && r.At < x.Warmup+x.Duration,
	}
	t.calls[r.Name] = c
	if r.GivesUpAfter > 0 && t.faulty() {
		t.clock.After(r.GivesUpAfter, c.giveUp)
	}
	c.homes = t.choose(c)
	c.submitNext()
	return c
}

func (c *call) dataCentre() string {
	return c.trial.setting.Experiment.Instances[c.request.Instance].DataCentre
}

// submitNext submits the request to the next home that it has not tried.
func (c *call) submitNext() {
	h := c.homes[0]
	c.homes = c.homes[1:]
	c.submit(h)
}

func (c *call) submit(h *home) {
	t := c.trial
	c.home = h
	c.losses = h.losses
	x := t.setting.Experiment
	s := tlwire.Submission{
		Pool:         h.pool.Name,
		Request:      c.request.Name,
		Owner:        x.Instances[c.request.Instance].Name,
		Incarnation:  1,
		Organisation: organisation(c.request.Organisation),
		Model:        x.Name,
		PromptTokens: c.request.Prompt + c.delivered,
		MaxTokens:    c.request.MaxTokens - c.delivered,
		Delivered:    c.delivered,
		Tries:        c.tries,
		Blocks:       c.request.Blocks,
		Arrived:      c.arrived,
		Spills:       len(c.homes) > 0 && c.delivered == 0,
		Due:          c.arrived.Add(c.request.FirstTokenTarget(t.model, x.FirstToken)),
	}
	t.trace(c.request.Name, "submit to %s: prompt %d output %d", h.pool.Name, s.PromptTokens, c.request.Output)
	t.clock.After(t.delay(c.dataCentre(), h.dataCentre), func() {
		h.do(func(now time.Time) []tlwire.Step { return h.policy.Submit(now, s) })
	})
}

// report tells the request's home how an attempt goes.
func (c *call) report(attempt string, r tlwire.Report) {
	t, h := c.trial, c.home
	r.Pool = h.pool.Name
	r.Request = c.request.Name
	r.Attempt = attempt
	t.trace(c.request.Name, "report %s %s %s tokens %d", r.Kind, attempt, r.Reason, r.Tokens)
	t.clock.After(t.delay(c.dataCentre(), h.dataCentre), func() {
		h.do(func(now time.Time) []tlwire.Step { return h.policy.Report(now, r) })
	})
}

// take acts on a step.
func (c *call) take(h *home, s tlwire.Step) {
	if c.ended || c.home != h {
		return
	}
	c.trial.trace(c.request.Name, "step %s %s %s %s", s.Kind, s.Attempt, s.Engine, s.Reason)
	switch s.Kind {
	case tlwire.StepKindStartPrefill:
		c.closeAttempt()
		c.attempt = newAttempt(c, s)
		c.attempt.startPrefill()
	case tlwire.StepKindStartTransfer:
		if c.current(s.Attempt) {
			c.attempt.startTransfer(s)
		}
	case tlwire.StepKindAbandon:
		if c.current(s.Attempt) {
			c.closeAttempt()
		}
	case tlwire.StepKindRefuse:
		c.refused(s)
	}
}

func (c *call) current(attempt string) bool {
	return c.attempt != nil && c.attempt.name == attempt
}

func (c *call) closeAttempt() {
	if c.attempt != nil {
		c.attempt.close()
		c.attempt = nil
	}
}

// refused spills to the next home, or tells the caller.
func (c *call) refused(s tlwire.Step) {
	c.closeAttempt()
	if c.delivered > 0 {
		c.end(Failed)
		return
	}
	if len(c.homes) > 0 {
		c.submitNext()
		return
	}
	c.trial.result.Counters["Answered"+s.Reason]++
	c.end(Refused)
	c.comeBack(s.RetryAfter)
}

func (c *call) giveUp() {
	if c.ended {
		return
	}
	name := ""
	if c.attempt != nil {
		name = c.attempt.name
	}
	c.report(name, tlwire.Report{Kind: tlwire.ReportKindCancelled})
	c.end(GaveUp)
}

// token delivers one token to the caller.
func (c *call) token() {
	now := c.trial.clock.Now()
	if c.first.IsZero() {
		c.first = now
	} else {
		c.gap(now.Sub(c.last))
	}
	c.last = now
	c.delivered++
}

func (c *call) gap(d time.Duration) {
	if d > c.trial.setting.Experiment.BetweenTokens {
		c.late++
	}
	if c.measured {
		record(c.trial.result.BetweenTokens, d)
	}
}

func (c *call) finished() {
	c.report(c.attempt.name, tlwire.Report{Kind: tlwire.ReportKindFinished, Tokens: c.delivered})
	x := c.trial.setting.Experiment
	switch {
	case c.first.Sub(c.arrived) > c.request.FirstTokenTarget(c.trial.model, x.FirstToken):
		c.end(LateFirst)
	case float64(c.late) > lateGaps*float64(c.delivered):
		c.end(LateBetween)
	default:
		c.end(Good)
	}
}

func (c *call) end(o Outcome) {
	if c.ended {
		return
	}
	c.ended = true
	c.closeAttempt()
	t := c.trial
	t.trace(c.request.Name, "end %s", o)
	if o != Unfinished {
		delete(t.calls, c.request.Name)
	}
	if !c.measured {
		return
	}
	r := t.result
	r.Outcomes[o]++
	s := &r.Organisations[c.request.Organisation]
	s.Offered++
	if o == Good {
		s.Good++
	}
	r.note(c.request.At-t.setting.Experiment.Warmup, o)
	if !c.first.IsZero() {
		s.Answered++
		s.PieceTokens += float64(c.delivered * tlmodel.Pieces(t.model, c.request.Prompt+c.delivered))
		record(r.FirstToken, c.first.Sub(c.arrived))
	}
}
