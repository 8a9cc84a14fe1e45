package tlsched

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"trefoillanding/core/tlwire"
)

var (
	start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	pool  = tlwire.Pool{Name: "p", Engines: []tlwire.Engine{
		{Name: "p1", Role: tlwire.RolePrefill},
		{Name: "d1", Role: tlwire.RoleDecode},
		{Name: "d2", Role: tlwire.RoleDecode},
	}}
)

func newScheduler() *Scheduler {
	return New(pool, tlwire.Service{Name: "s"}, nil, rand.New(rand.NewPCG(1, 1)))
}

func submission(name string) tlwire.Submission {
	return tlwire.Submission{
		Pool: "p", Request: name, Owner: "o", Organisation: "g",
		PromptTokens: 1500, MaxTokens: 400, Arrived: start, Due: start.Add(time.Second),
	}
}

func report(k tlwire.ReportKind, attempt string) tlwire.Report {
	return tlwire.Report{Request: "r", Attempt: attempt, Kind: k, HeldFor: 500 * time.Millisecond, Bytes: 1 << 20}
}

func kinds(l []tlwire.Step) []tlwire.StepKind {
	var k []tlwire.StepKind
	for _, t := range l {
		k = append(k, t.Kind)
	}
	return k
}

func TestReportsLeadToSteps(t *testing.T) {
	const (
		prefill  = tlwire.StepKindStartPrefill
		transfer = tlwire.StepKindStartTransfer
		abandon  = tlwire.StepKindAbandon
	)
	type act struct {
		kind    tlwire.ReportKind
		attempt string
		want    []tlwire.StepKind
	}
	done := act{tlwire.ReportKindPrefillDone, "r/1", []tlwire.StepKind{transfer}}
	cases := []struct {
		name string
		acts []act
		left int
	}{
		{"complete answer", []act{done, {tlwire.ReportKindTransferDone, "r/1", nil}, {tlwire.ReportKindFinished, "r/1", nil}}, 0},
		{"stale attempt", []act{{tlwire.ReportKindPrefillDone, "r/0", nil}}, 1},
		{"stalled transfer moves to another engine", []act{done, {tlwire.ReportKindTransferStalled, "r/1", []tlwire.StepKind{transfer}}}, 1},
		{"decode fails", []act{done, {tlwire.ReportKindTransferDone, "r/1", nil}, {tlwire.ReportKindDecodeFailed, "r/1", []tlwire.StepKind{abandon, prefill}}}, 1},
		{"cancelled during transfer", []act{done, {tlwire.ReportKindCancelled, "r/1", []tlwire.StepKind{abandon}}}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newScheduler()
			require.Equal(t, []tlwire.StepKind{prefill}, kinds(s.Submit(start, submission("r"))))
			for _, a := range c.acts {
				assert.Equal(t, a.want, kinds(s.Report(start, report(a.kind, a.attempt))))
			}
			assert.Len(t, s.requests, c.left)
		})
	}
}

func TestLeavingEngineGetsNoWork(t *testing.T) {
	s := newScheduler()
	s.SetEngineState(start, "d1", EngineLeaving)
	s.Submit(start, submission("r"))
	assert.Equal(t, "d2", s.Report(start, report(tlwire.ReportKindPrefillDone, "r/1"))[0].Engine)
}

func TestRequestMovesWhenItsEngineIsGone(t *testing.T) {
	p := pool
	p.Engines = append([]tlwire.Engine{{Name: "p2", Role: tlwire.RolePrefill}}, pool.Engines...)
	s := New(p, tlwire.Service{Name: "s"}, nil, rand.New(rand.NewPCG(1, 1)))
	first := s.Submit(start, submission("r"))[0].Engine
	l := s.SetEngineState(start, first, EngineGone)
	require.Equal(t, []tlwire.StepKind{tlwire.StepKindAbandon, tlwire.StepKindStartPrefill}, kinds(l))
	assert.Equal(t, "r/2", l[1].Attempt)
	assert.NotEqual(t, first, l[1].Engine)
}

func TestPoolWithoutEnginesRefusesStartedRequest(t *testing.T) {
	s := newScheduler()
	s.Submit(start, submission("r"))
	l := s.SetEngineState(start, "p1", EngineGone)
	require.Equal(t, []tlwire.StepKind{tlwire.StepKindAbandon, tlwire.StepKindRefuse}, kinds(l))
	assert.Equal(t, "NoEndpoint", l[1].Reason)
	assert.Empty(t, s.SetEngineState(start, "p1", EngineLive), "the owner must submit it again")
}

// Guards against a second transfer being started before the owner has reported the first one as failed.
func TestTransferToGoneEngineWaitsForOwnerReport(t *testing.T) {
	s := newScheduler()
	s.Submit(start, submission("r"))
	first := s.Report(start, report(tlwire.ReportKindPrefillDone, "r/1"))[0].Engine
	assert.Empty(t, s.SetEngineState(start, first, EngineGone))
	l := s.Report(start, report(tlwire.ReportKindTransferFailed, "r/1"))
	require.Equal(t, []tlwire.StepKind{tlwire.StepKindStartTransfer}, kinds(l))
	assert.NotEqual(t, first, l[0].Engine)
}

// Guards against engines that the configuration no longer names being kept for ever.
func TestRemovedEngineIsForgottenOnceUnused(t *testing.T) {
	s := newScheduler()
	s.Submit(start, submission("r"))
	used := s.Report(start, report(tlwire.ReportKindPrefillDone, "r/1"))[0].Engine
	p := tlwire.Pool{Name: "p", Engines: []tlwire.Engine{{Name: "p2", Role: tlwire.RolePrefill}, {Name: "d3", Role: tlwire.RoleDecode}}}
	assert.Empty(t, s.Configure(start, p, tlwire.Service{Name: "s"}, nil))
	assert.Contains(t, s.engines, used)
	assert.Equal(t, "p2", s.Submit(start, submission("q"))[0].Engine)
	s.Report(start, report(tlwire.ReportKindFinished, "r/1"))
	s.Configure(start, p, tlwire.Service{Name: "s"}, nil)
	assert.Len(t, s.engineList, 2)
}

// Guards against refusing a burst on an idle pool: before any late request had been
// served, the wait of late requests was predicted a hundred times too long.
func TestLateBurstOnAnIdlePoolIsNotRefused(t *testing.T) {
	s := newScheduler()
	var steps []tlwire.Step
	for _, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"} {
		q := submission(name)
		q.Arrived, q.Due = start, start
		steps = append(steps, s.Submit(start.Add(time.Second), q)...)
	}
	assert.NotContains(t, kinds(steps), tlwire.StepKindRefuse)
}
