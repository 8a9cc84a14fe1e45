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

// logged is a stream of the log for tests, whose oldest records can be dropped.
type logged struct {
	oldest  uint64
	records []tlwire.LogRecord
}

func (l *logged) append(data []byte) uint64 {
	at := uint64(len(l.records) + 1)
	l.records = append(l.records, tlwire.LogRecord{Offset: at, Time: time.Unix(int64(at), 0), Data: data})
	return at
}

// follow reads all that is kept.
func (l *logged) follow(f *Fold) []Ruling {
	var out []Ruling
	for {
		if f.NextOffset() < l.oldest {
			f.Begin(l.oldest)
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
	l := &logged{oldest: 1}
	f := NewFold()
	f.Begin(1)
	first := proposal(t, f.State(), organisations("a", "b"), "n1")
	l.append(first)
	l.append(proposal(t, f.State(), organisations("c"), "n2"))
	l.append(first)
	l.append([]byte("nothing of ours"))
	assert.Equal(t, []Ruling{Accepted, Outdated, Outdated, Ignored}, l.follow(f))
	assert.Equal(t, uint64(1), f.State().Generation)
	assert.Equal(t, organisations("a", "b"), f.State().Declared)
	g, ok := f.State().AppliedAs("n1")
	assert.True(t, ok)
	assert.Equal(t, uint64(1), g)
	_, ok = f.State().AppliedAs("n2")
	assert.False(t, ok)
	assert.Equal(t, Repeated, f.Apply(l.records[0]))
}

func TestAReaderThatBeginsLateNeedsASnapshot(t *testing.T) {
	l := &logged{oldest: 1}
	f := NewFold()
	f.Begin(1)
	l.append(proposal(t, f.State(), organisations("a"), "n1"))
	l.follow(f)
	snapshot, err := Snapshot(f.State())
	require.NoError(t, err)
	l.append(proposal(t, f.State(), organisations("a", "b"), "n2"))
	l.append(snapshot)
	l.follow(f)

	l.oldest = 3
	late := NewFold()
	assert.Equal(t, []Ruling{Unjudged}, l.follow(late), "a record between the state and the snapshot is gone")
	assert.False(t, late.IsKnown())
	again, err := Snapshot(f.State())
	require.NoError(t, err)
	l.append(again)
	assert.Equal(t, []Ruling{Restored, Confirmed}, l.follow(late))
	assert.Equal(t, f.State().Export().Items, late.State().Export().Items)

	l.oldest = 2
	early := NewFold()
	assert.Equal(t, []Ruling{Unjudged, Restored, Accepted, Confirmed, Confirmed}, l.follow(early))
	assert.Equal(t, f.State().Digest, early.State().Digest)
}

func TestASnapshotCoversNoMoreThanItsOwnGeneration(t *testing.T) {
	l := &logged{oldest: 1}
	f := NewFold()
	f.Begin(1)
	assert.False(t, f.SnapshotDue(time.Unix(10, 0), 2, time.Hour), "nothing is in force")
	l.append(proposal(t, f.State(), organisations("a"), "n1"))
	l.follow(f)
	assert.True(t, f.SnapshotDue(time.Unix(10, 0), 2, time.Hour), "there is none yet")
	early, err := Snapshot(f.State())
	require.NoError(t, err)
	for n := range 2 {
		l.append(proposal(t, f.State(), organisations("a", fmt.Sprint("b", n)), fmt.Sprint("m", n)))
		l.follow(f)
	}
	l.append(early)
	l.follow(f)
	assert.True(t, f.SnapshotDue(time.Unix(10, 0), 2, time.Hour), "two changes came between its state and its place")
	late, err := Snapshot(f.State())
	require.NoError(t, err)
	l.append(late)
	l.follow(f)
	assert.False(t, f.SnapshotDue(time.Unix(10, 0), 2, time.Hour))
	assert.True(t, f.SnapshotDue(time.Unix(4000, 0), 2, time.Hour))
}

func TestRecordsOfLaterVersions(t *testing.T) {
	f := NewFold()
	f.Begin(1)
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
	assert.Equal(t, c.Items, []tlwire.ConfigItem{back.Export().Items[1], back.Export().Items[0]}, "unknown parts are carried")
	assert.True(t, f.Adopt(back))
}

func TestDamagedRecordsChangeNothing(t *testing.T) {
	f := NewFold()
	f.Begin(1)
	bad, err := Proposal(0, tlwire.ConfigChange{Items: []tlwire.ConfigItem{{Section: "Pools", Name: "p", Body: []byte{0x80}}}}, "o", "n")
	require.NoError(t, err)
	assert.Equal(t, Malformed, f.Apply(tlwire.LogRecord{Offset: 1, Data: bad}))
	assert.Equal(t, uint64(0), f.State().Generation)
	e := State{}.Export()
	e.Items = []tlwire.ConfigItem{{Section: "Organisations", Name: "a", Body: []byte{0xa1, 0x64, 'N', 'a', 'm', 'e', 0x61, 'a'}}}
	_, err = Import(e)
	assert.ErrorIs(t, err, errDamaged)
}

// Readers that begin, restart and lose records at any moment agree with one
// that read everything, and no generation has two contents.
func TestAllReadersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := &logged{oldest: 1}
		whole := NewFold()
		whole.Begin(1)
		readers := []*Fold{NewFold(), NewFold(), NewFold()}
		floors := make([]uint64, len(readers))
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
				l.follow(r)
			case "restart":
				readers[i], floors[i] = NewFold(), 0
			case "snapshot":
				if r.IsKnown() {
					data, err := Snapshot(r.State())
					require.NoError(t, err)
					l.append(data)
				}
			case "retain":
				l.follow(whole)
				l.oldest = min(l.oldest+uint64(rapid.IntRange(0, 3).Draw(t, "dropped")), uint64(len(l.records)+1))
			case "adopt":
				if o := readers[(i+1)%len(readers)]; o.IsKnown() {
					s, err := Import(o.State().Export())
					require.NoError(t, err)
					r.Adopt(s)
				}
			}
			l.follow(whole)
			for i, r := range readers {
				assert.GreaterOrEqual(t, r.State().Generation, floors[i], "a generation went back")
				floors[i] = r.State().Generation
			}
			stale = whole.State()
		}
		for _, r := range readers {
			l.follow(r)
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
		f := NewFold()
		f.Begin(1)
		f.Apply(tlwire.LogRecord{Offset: 1, Data: data})
		g := NewFold()
		g.Begin(5)
		g.Apply(tlwire.LogRecord{Offset: 5, Data: data})
	})
}

// large returns a configuration of the target size: 4,000 organisations and
// 10,000 engines in pools of 14.
func large() tlwire.Config {
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
	data := proposal(b, State{}, large(), "0")
	inUse := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	for b.Loop() {
		before := inUse()
		f := NewFold()
		f.Begin(1)
		f.Apply(tlwire.LogRecord{Offset: 1, Data: data})
		c := New(f.State().Declared)
		b.ReportMetric(float64(inUse()-before)/(1<<20), "MiB")
		runtime.KeepAlive(f)
		runtime.KeepAlive(c)
	}
}

func BenchmarkTakeOfOneChangeAtTargetSize(b *testing.B) {
	f := NewFold()
	f.Begin(1)
	data := proposal(b, f.State(), large(), "0")
	f.Apply(tlwire.LogRecord{Offset: 1, Data: data})
	whole := len(data)
	c := large()
	changed := 0
	at := uint64(2)
	r := rand.New(rand.NewPCG(1, 2))
	for b.Loop() {
		b.StopTimer()
		c.Pools[r.IntN(len(c.Pools))].PieceTokens = int(at)
		data = proposal(b, f.State(), c, fmt.Sprint(at))
		changed = len(data)
		b.StartTimer()
		if ruling := f.Apply(tlwire.LogRecord{Offset: at, Data: data}); ruling != Accepted {
			b.Fatal(ruling)
		}
		New(f.State().Declared)
		at++
	}
	b.ReportMetric(float64(whole), "whole-bytes")
	b.ReportMetric(float64(changed), "change-bytes")
}
