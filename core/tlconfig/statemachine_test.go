package tlconfig

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"trefoillanding/core/tlcodec"
	"trefoillanding/core/tlwire"
)

// testLog is an in-memory log stream whose oldest records can be dropped.
type testLog struct {
	oldest  uint64
	records []tlwire.LogRecord
}

func (l *testLog) append(data []byte) uint64 {
	at := uint64(len(l.records) + 1)
	l.records = append(l.records, tlwire.LogRecord{Offset: at, Time: time.Unix(int64(at), 0), Data: data})
	return at
}

// readAll applies all records that are retained and not yet read.
func (l *testLog) readAll(f *StateMachine) []Outcome {
	var out []Outcome
	for {
		if f.NextOffset() < l.oldest {
			f.StartAt(l.oldest)
		}
		at := max(f.NextOffset(), 1)
		if at > uint64(len(l.records)) {
			return out
		}
		out = append(out, f.Apply(l.records[at-1]))
	}
}

func organisations(names ...string) tlwire.Config {
	var c tlwire.Config
	for _, n := range names {
		c.Organisations = append(c.Organisations, tlwire.Organisation{Name: n})
	}
	return sorted(c)
}

func proposal(t require.TestingT, s State, c tlwire.Config, nonce string) []byte {
	d, err := s.Diff(c)
	require.NoError(t, err)
	data, err := Proposal(s.Generation, d, "operator", nonce)
	require.NoError(t, err)
	return data
}

func TestOneOfTwoRacingProposalsWins(t *testing.T) {
	l := &testLog{oldest: 1}
	f := NewStateMachine()
	f.StartAt(1)
	first := proposal(t, f.State(), organisations("a", "b"), "n1")
	l.append(first)
	l.append(proposal(t, f.State(), organisations("c"), "n2"))
	l.append(first)
	l.append([]byte("nothing of ours"))
	assert.Equal(t, []Outcome{Accepted, Outdated, Outdated, Ignored}, l.readAll(f))
	assert.Equal(t, uint64(1), f.State().Generation)
	assert.Equal(t, organisations("a", "b"), f.State().Declared)
	g, ok := f.State().GenerationOf("n1")
	assert.True(t, ok)
	assert.Equal(t, uint64(1), g)
	_, ok = f.State().GenerationOf("n2")
	assert.False(t, ok)
	assert.Equal(t, Repeated, f.Apply(l.records[0]))
}

func TestReaderThatStartsLateNeedsSnapshot(t *testing.T) {
	l := &testLog{oldest: 1}
	f := NewStateMachine()
	f.StartAt(1)
	l.append(proposal(t, f.State(), organisations("a"), "n1"))
	l.readAll(f)
	snapshot, err := Snapshot(f.State())
	require.NoError(t, err)
	l.append(proposal(t, f.State(), organisations("a", "b"), "n2"))
	l.append(snapshot)
	l.readAll(f)

	l.oldest = 3
	late := NewStateMachine()
	assert.Equal(t, []Outcome{StateUnknown}, l.readAll(late), "a record between the snapshot's state and the snapshot was dropped")
	assert.False(t, late.IsKnown())
	again, err := Snapshot(f.State())
	require.NoError(t, err)
	l.append(again)
	assert.Equal(t, []Outcome{Restored, Confirmed}, l.readAll(late))
	assert.Equal(t, f.State().Export().Items, late.State().Export().Items)

	l.oldest = 2
	early := NewStateMachine()
	assert.Equal(t, []Outcome{StateUnknown, Restored, Accepted, Confirmed, Confirmed}, l.readAll(early))
	assert.Equal(t, f.State().Digest, early.State().Digest)
}

func TestSnapshotCountsOnlyForItsOwnGeneration(t *testing.T) {
	l := &testLog{oldest: 1}
	f := NewStateMachine()
	f.StartAt(1)
	assert.False(t, f.SnapshotDue(time.Unix(10, 0), 2, time.Hour), "no configuration is in force")
	l.append(proposal(t, f.State(), organisations("a"), "n1"))
	l.readAll(f)
	assert.True(t, f.SnapshotDue(time.Unix(10, 0), 2, time.Hour), "no snapshot has been written yet")
	early, err := Snapshot(f.State())
	require.NoError(t, err)
	for n := range 2 {
		l.append(proposal(t, f.State(), organisations("a", fmt.Sprint("b", n)), fmt.Sprint("m", n)))
		l.readAll(f)
	}
	l.append(early)
	l.readAll(f)
	assert.True(t, f.SnapshotDue(time.Unix(10, 0), 2, time.Hour), "two changes precede the snapshot but are not in it")
	late, err := Snapshot(f.State())
	require.NoError(t, err)
	l.append(late)
	l.readAll(f)
	assert.False(t, f.SnapshotDue(time.Unix(10, 0), 2, time.Hour))
	assert.True(t, f.SnapshotDue(time.Unix(4000, 0), 2, time.Hour))
}

func TestRecordsOfLaterVersions(t *testing.T) {
	f := NewStateMachine()
	f.StartAt(1)
	body, err := tlcodec.Encode(tlwire.ConfigProposal{Nonce: "n", Content: []byte{1}})
	require.NoError(t, err)
	data, err := tlcodec.Encode(tlwire.Record{Kind: tlwire.RecordKindConfigProposal, Version: 2, Body: body})
	require.NoError(t, err)
	assert.Equal(t, TooNew, f.Apply(tlwire.LogRecord{Offset: 1, Data: data}))
	assert.False(t, f.IsKnown())

	later, err := tlcodec.Encode(map[string]any{"Name": "a", "Later": 1})
	require.NoError(t, err)
	c := tlwire.ConfigChange{Items: []tlwire.ConfigItem{
		{Section: "Organisations", Name: "a", Body: later},
		{Section: "Later", Name: "x", Body: later},
	}}
	s, err := State{}.apply(c)
	require.NoError(t, err)
	s.Offset, s.Generation = 2, 1
	back, err := Import(s.Export())
	require.NoError(t, err)
	assert.Equal(t, c.Items, []tlwire.ConfigItem{back.Export().Items[1], back.Export().Items[0]}, "unknown fields and sections are kept")
	assert.True(t, f.Adopt(back))
}

func TestMalformedRecordsChangeNothing(t *testing.T) {
	f := NewStateMachine()
	f.StartAt(1)
	bad, err := Proposal(0, tlwire.ConfigChange{Items: []tlwire.ConfigItem{{Section: "Pools", Name: "p", Body: []byte{0x80}}}}, "o", "n")
	require.NoError(t, err)
	assert.Equal(t, Malformed, f.Apply(tlwire.LogRecord{Offset: 1, Data: bad}))
	assert.Equal(t, uint64(0), f.State().Generation)
	e := State{}.Export()
	e.Items = []tlwire.ConfigItem{{Section: "Organisations", Name: "a", Body: []byte{0xa1, 0x64, 'N', 'a', 'm', 'e', 0x61, 'a'}}}
	_, err = Import(e)
	assert.ErrorIs(t, err, errDigestMismatch)
}

// Readers that start, restart and miss records at any time reach the same state
// as one that read everything, and no generation has two contents.
func TestAllReadersReachTheSameState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := &testLog{oldest: 1}
		whole := NewStateMachine()
		whole.StartAt(1)
		readers := []*StateMachine{NewStateMachine(), NewStateMachine(), NewStateMachine()}
		minGenerations := make([]uint64, len(readers))
		stale := whole.State()
		for step := range 30 {
			i := rapid.IntRange(0, len(readers)-1).Draw(t, "reader")
			r := readers[i]
			switch rapid.SampledFrom([]string{"propose", "propose late", "read", "restart", "snapshot", "retain", "adopt"}).Draw(t, "step") {
			case "propose":
				if r.IsKnown() {
					c := organisations(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name"), fmt.Sprint("s", step))
					l.append(proposal(t, r.State(), c, fmt.Sprint(step)))
				}
			case "propose late":
				l.append(proposal(t, stale, organisations("late"), fmt.Sprint(step)))
			case "read":
				l.readAll(r)
			case "restart":
				readers[i], minGenerations[i] = NewStateMachine(), 0
			case "snapshot":
				if r.IsKnown() {
					data, err := Snapshot(r.State())
					require.NoError(t, err)
					l.append(data)
				}
			case "retain":
				l.readAll(whole)
				l.oldest = min(l.oldest+uint64(rapid.IntRange(0, 3).Draw(t, "dropped")), uint64(len(l.records)+1))
			case "adopt":
				if o := readers[(i+1)%len(readers)]; o.IsKnown() {
					s, err := Import(o.State().Export())
					require.NoError(t, err)
					r.Adopt(s)
				}
			}
			l.readAll(whole)
			for i, r := range readers {
				assert.GreaterOrEqual(t, r.State().Generation, minGenerations[i], "the generation decreased")
				minGenerations[i] = r.State().Generation
			}
			stale = whole.State()
		}
		for _, r := range readers {
			l.readAll(r)
			if r.IsKnown() {
				assert.Equal(t, whole.State().Export(), r.State().Export())
			}
		}
	})
}

func FuzzTake(f *testing.F) {
	s, err := Snapshot(State{})
	require.NoError(f, err)
	f.Add(s)
	p, err := Proposal(0, tlwire.ConfigChange{}, "o", "n")
	require.NoError(f, err)
	f.Add(p)
	f.Fuzz(func(_ *testing.T, data []byte) {
		f := NewStateMachine()
		f.StartAt(1)
		f.Apply(tlwire.LogRecord{Offset: 1, Data: data})
		g := NewStateMachine()
		g.StartAt(5)
		g.Apply(tlwire.LogRecord{Offset: 5, Data: data})
	})
}

// configOfTargetSize returns a configuration of the size that the system is
// designed for: 4,000 organisations and 10,000 engines in pools of 14.
func configOfTargetSize() tlwire.Config {
	var c tlwire.Config
	c.Services = []tlwire.Service{{Name: "llm", Kind: tlwire.ServiceKindCompletions, Models: []tlwire.Model{{Name: "m", Version: "v1"}}}}
	for i := range 4000 {
		c.Organisations = append(c.Organisations, tlwire.Organisation{Name: fmt.Sprintf("organisation-%04d", i), Weight: 1})
	}
	for i := range 714 {
		p := tlwire.Pool{Name: fmt.Sprintf("pool-%03d", i), Service: "llm", DataCentre: fmt.Sprint("dc", i%10)}
		for j := range 14 {
			p.Engines = append(p.Engines, tlwire.Engine{Name: fmt.Sprintf("engine-%03d-%02d", i, j), Role: tlwire.RoleDecode})
		}
		c.Pools = append(c.Pools, p)
	}
	return sorted(c)
}

func BenchmarkMemoryAtTargetSize(b *testing.B) {
	data := proposal(b, State{}, configOfTargetSize(), "0")
	inUse := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	for b.Loop() {
		before := inUse()
		f := NewStateMachine()
		f.StartAt(1)
		f.Apply(tlwire.LogRecord{Offset: 1, Data: data})
		c := New(f.State().Declared)
		b.ReportMetric(float64(inUse()-before)/(1<<20), "MiB")
		runtime.KeepAlive(f)
		runtime.KeepAlive(c)
	}
}

func BenchmarkTakeOfOneChangeAtTargetSize(b *testing.B) {
	f := NewStateMachine()
	f.StartAt(1)
	data := proposal(b, f.State(), configOfTargetSize(), "0")
	f.Apply(tlwire.LogRecord{Offset: 1, Data: data})
	whole := len(data)
	c := configOfTargetSize()
	changed := 0
	at := uint64(2)
	r := rand.New(rand.NewPCG(1, 2))
	for b.Loop() {
		b.StopTimer()
		c.Pools[r.IntN(len(c.Pools))].PieceTokens = int(at)
		data = proposal(b, f.State(), c, fmt.Sprint(at))
		changed = len(data)
		b.StartTimer()
		if outcome := f.Apply(tlwire.LogRecord{Offset: at, Data: data}); outcome != Accepted {
			b.Fatal(outcome)
		}
		New(f.State().Declared)
		at++
	}
	b.ReportMetric(float64(whole), "whole-bytes")
	b.ReportMetric(float64(changed), "change-bytes")
}
