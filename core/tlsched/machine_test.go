package tlsched

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"trefoillanding/core/tlwire"
)

// machine drives a scheduler with events in any order and holds, for each
// request, what a faithful owner would know of it.
type machine struct {
	t     *rapid.T
	s     *Scheduler
	now   time.Time
	sent  int
	open  []string
	steps map[string]tlwire.Step
	ended map[string]int
	state map[string]EngineState

	draining map[string]bool
}

func newMachine(t *rapid.T) *machine {
	p := tlwire.Pool{Name: "p", LinkBytesPerSecond: 1e9, Engines: []tlwire.Engine{
		{Name: "p1", Role: tlwire.RolePrefill},
		{Name: "p2", Role: tlwire.RolePrefill},
		{Name: "d1", Role: tlwire.RoleDecode},
		{Name: "d2", Role: tlwire.RoleDecode},
		{Name: "b1", Role: tlwire.RoleBoth},
	}}
	o := DefaultOptions()
	o.AssumedPieces = 5
	b := tlwire.Bounds{QueueLength: 12, QueueWait: 5 * time.Second, RetryShare: 0.1}
	return &machine{
		t: t, now: start,
		s:     NewWithOptions(o, p, tlwire.Service{Name: "s", Bounds: &b}, nil, rand.New(rand.NewPCG(1, 1))),
		steps: map[string]tlwire.Step{},
		ended: map[string]int{},
		state: map[string]EngineState{},

		draining: map[string]bool{},
	}
}

func (m *machine) take(l []tlwire.Step) {
	for _, t := range l {
		require.Zero(m.t, m.ended[t.Request], "step after the end")
		switch t.Kind {
		case tlwire.StepKindRefuse:
			m.end(t.Request)
		case tlwire.StepKindAbandon:
			delete(m.steps, t.Request)
		default:
			require.Equal(m.t, EngineLive, m.state[t.Engine], "work for an engine that takes none")
			require.False(m.t, m.draining[t.Engine], "work for an engine that drains")
			m.steps[t.Request] = t
		}
	}
	m.check()
}

func (m *machine) end(request string) {
	m.ended[request]++
	delete(m.steps, request)
	for i, r := range m.open {
		if r == request {
			m.open = append(m.open[:i], m.open[i+1:]...)
			return
		}
	}
}

func (m *machine) check() {
	require.Len(m.t, m.s.requests, len(m.open))
	pieces := map[*engine]int{}
	streams := map[*engine]int{}
	prefills := map[*engine]int{}
	for _, r := range m.s.requests {
		if r.decode != nil {
			pieces[r.decode] += r.pieces
			streams[r.decode]++
		}
		if r.prefill != nil {
			prefills[r.prefill]++
		}
	}
	for _, e := range m.s.order {
		require.Equal(m.t, pieces[e], e.memory.Reserved(), e.name)
		require.Equal(m.t, streams[e], e.streams, e.name)
		require.Equal(m.t, streams[e], e.memory.Attempts(), e.name)
		require.Equal(m.t, prefills[e], e.prefills, e.name)
		require.GreaterOrEqual(m.t, e.link.Backlog(), int64(0))
	}
}

func (m *machine) submit(t *rapid.T) {
	m.sent++
	q := submission(fmt.Sprint("r", m.sent))
	q.Organisation = rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "organisation")
	q.PromptTokens = rapid.IntRange(1, 12000).Draw(t, "prompt")
	q.Arrived = m.now
	q.Due = m.now.Add(time.Duration(rapid.IntRange(-100, 1000).Draw(t, "due")) * time.Millisecond)
	m.open = append(m.open, q.Request)
	l := m.s.Submit(m.now, q)
	m.take(l)
	if m.ended[q.Request] == 0 {
		assert.Empty(t, m.s.Submit(m.now, q), "a repeated message")
	}
}

var answers = map[tlwire.StepKind][]tlwire.ReportKind{
	tlwire.StepKindStartPrefill:  {tlwire.ReportKindPrefillDone, tlwire.ReportKindPrefillDone, tlwire.ReportKindPrefillFailed},
	tlwire.StepKindStartTransfer: {tlwire.ReportKindTransferDone, tlwire.ReportKindTransferDone, tlwire.ReportKindTransferStalled, tlwire.ReportKindTransferFailed, tlwire.ReportKindProgress, tlwire.ReportKindDecodeFailed},
}

func (m *machine) report(t *rapid.T) {
	if len(m.open) == 0 {
		return
	}
	q := rapid.SampledFrom(m.open).Draw(t, "request")
	k := []tlwire.ReportKind{tlwire.ReportKindCancelled, tlwire.ReportKindPrefillDone}
	a := "x"
	if p, ok := m.steps[q]; ok {
		k, a = append(answers[p.Kind], tlwire.ReportKindFinished), p.Attempt
	}
	p := tlwire.Report{
		Request: q, Attempt: a, Kind: rapid.SampledFrom(k).Draw(t, "kind"),
		HeldFor: 300 * time.Millisecond, Bytes: 1e7,
		Tokens: rapid.IntRange(0, 9000).Draw(t, "tokens"),
		Reason: rapid.SampledFrom([]string{"", "Full"}).Draw(t, "reason"),
	}
	l := m.s.Report(m.now, p)
	if p.Kind == tlwire.ReportKindFinished || p.Kind == tlwire.ReportKindCancelled {
		l = without(l, q)
		m.end(q)
	}
	m.take(l)
}

// without drops the last Abandon of a request that has just ended.
func without(l []tlwire.Step, request string) []tlwire.Step {
	var k []tlwire.Step
	for _, t := range l {
		if t.Request != request || t.Kind != tlwire.StepKindAbandon {
			k = append(k, t)
		}
	}
	return k
}

func (m *machine) engine(t *rapid.T) {
	n := m.s.order[rapid.IntRange(0, len(m.s.order)-1).Draw(t, "engine")].name
	m.state[n] = rapid.SampledFrom([]EngineState{EngineLive, EngineLive, EngineLeaving, EngineGone}).Draw(t, "state")
	m.take(m.s.SetEngineState(m.now, n, m.state[n]))
}

func (m *machine) load(t *rapid.T) {
	e := m.s.order[rapid.IntRange(0, len(m.s.order)-1).Draw(t, "engine")]
	m.draining[e.name] = rapid.IntRange(0, 4).Draw(t, "draining") == 0
	m.take(m.s.UpdateLoad(m.now, tlwire.LoadReport{
		Name: e.name, Role: e.role, PiecesTotal: 5,
		PiecesFree: rapid.IntRange(0, 5).Draw(t, "free"),
		Draining:   m.draining[e.name],
	}))
}

func (m *machine) wait(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "wait")) * time.Millisecond)
	m.take(m.s.Tick(m.now))
}

// drain brings all engines back and lets every request end.
func (m *machine) drain() {
	for _, e := range m.s.order {
		m.state[e.name] = EngineLive
		m.draining[e.name] = false
		m.take(m.s.SetEngineState(m.now, e.name, EngineLive))
		m.take(m.s.UpdateLoad(m.now, tlwire.LoadReport{Name: e.name, Role: e.role, PiecesTotal: 20, PiecesFree: 20}))
	}
	for n := 0; len(m.open) > 0; n++ {
		require.Less(m.t, n, 5000, "requests are left")
		for _, q := range append([]string(nil), m.open...) {
			m.answer(q)
		}
		if t := m.s.NextTick(); t.After(m.now) {
			m.now = t
		}
		m.take(m.s.Tick(m.now))
	}
	for _, e := range m.s.order {
		assert.Zero(m.t, e.memory.Reserved())
		assert.Zero(m.t, e.link.Backlog())
	}
	assert.Zero(m.t, m.s.waiting()+len(m.s.unfunded))
	for q, n := range m.ended {
		assert.Equal(m.t, 1, n, q)
	}
	assert.Len(m.t, m.ended, m.sent)
}

func (m *machine) answer(q string) {
	p, ok := m.steps[q]
	if !ok {
		return
	}
	r := tlwire.Report{Request: q, Attempt: p.Attempt, Kind: tlwire.ReportKindPrefillDone, HeldFor: time.Second, Tokens: 100, Bytes: 1e6}
	if p.Kind == tlwire.StepKindStartTransfer {
		r.Kind = tlwire.ReportKindFinished
		l := m.s.Report(m.now, r)
		m.end(q)
		m.take(l)
		return
	}
	m.take(m.s.Report(m.now, r))
}

func TestEveryRequestEndsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		t.Repeat(map[string]func(*rapid.T){
			"submit": m.submit,
			"report": m.report,
			"engine": m.engine,
			"load":   m.load,
			"wait":   m.wait,
		})
		m.drain()
	})
}
