package tlsweep_test

import (
	"flag"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"trefoillanding/core/tlmember"
	"trefoillanding/core/tlsweep"
	"trefoillanding/core/tlwire"
)

func TestMain(m *testing.M) {
	flag.Parse()
	// Uses the same sequence of events in each run, unless a seed is given.
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = f.Value.Set("1")
	}
	os.Exit(m.Run())
}

var limits = tlsweep.NewLimits(time.Second)

// poll is one poll of an engine: the state at that time and the expected reason.
type poll struct {
	at       time.Duration
	stage    tlwire.Stage
	owner    string
	reader   bool
	liveness tlmember.Liveness
	answer   string // of the owner if it is asked: yes, no, or none for no answer
	want     tlsweep.Reason
}

const (
	queued    = tlwire.StageQueued
	importing = tlwire.StageImporting
	decoding  = tlwire.StageDecoding
	finished  = tlwire.StageFinished
)

var sweepCases = []struct {
	name  string
	polls []poll
}{
	{"1 a stream with a live reader is not cancelled", []poll{
		{0, decoding, "a", true, tlmember.Alive, "", ""},
		{time.Hour, decoding, "a", true, tlmember.Alive, "", ""},
	}},
	{"2 a stream of a gone owner is cancelled after the grace period", []poll{
		{0, decoding, "a", true, tlmember.Alive, "", ""},
		{time.Second, decoding, "a", false, tlmember.Gone, "", ""},
		{1900 * time.Millisecond, decoding, "a", false, tlmember.Gone, "", ""},
		{2 * time.Second, decoding, "a", false, tlmember.Gone, "", tlsweep.OwnerGone},
		{3 * time.Second, decoding, "a", false, tlmember.Gone, "", tlsweep.OwnerGone},
	}},
	{"3 a resumed stream belongs to its new owner", []poll{
		{0, decoding, "a", false, tlmember.Gone, "", ""},
		{900 * time.Millisecond, decoding, "b", true, tlmember.Alive, "", ""},
		{5 * time.Second, decoding, "b", true, tlmember.Alive, "", ""},
	}},
	{"4 an attempt that can't be resumed is cancelled at once", []poll{
		{0, queued, "a", false, tlmember.Gone, "", tlsweep.OwnerGone},
		{0, importing, "a", false, tlmember.Gone, "", tlsweep.OwnerGone},
	}},
	{"5 a suspected owner times out later with its connection open than closed", []poll{
		{0, decoding, "a", true, tlmember.Suspected, "", ""},
		{4900 * time.Millisecond, decoding, "a", true, tlmember.Suspected, "", ""},
		{4950 * time.Millisecond, decoding, "a", false, tlmember.Suspected, "none", tlsweep.OwnerSilent},
		{5 * time.Second, decoding, "a", true, tlmember.Suspected, "", tlsweep.OwnerPaused},
	}},
	{"6 a suspected owner that is alive again keeps its stream", []poll{
		{0, decoding, "a", true, tlmember.Suspected, "", ""},
		{4 * time.Second, decoding, "a", true, tlmember.Alive, "", ""},
		{8 * time.Second, decoding, "a", true, tlmember.Suspected, "", ""},
	}},
	{"7 the owner of an unread stream is asked, and the disowned stream waits for its grace period", []poll{
		{0, decoding, "a", false, tlmember.Alive, "", ""},
		{time.Second, decoding, "a", false, tlmember.Alive, "yes", ""},
		{3 * time.Second, decoding, "a", false, tlmember.Alive, "", ""},
		{6 * time.Second, decoding, "a", false, tlmember.Alive, "no", ""},
		{7 * time.Second, decoding, "a", false, tlmember.Alive, "", tlsweep.Disowned},
	}},
	{"8 an owner that does not answer counts as unreachable", []poll{
		{0, importing, "a", false, tlmember.Alive, "", ""},
		{time.Second, importing, "a", false, tlmember.Alive, "none", ""},
		{2 * time.Second, importing, "a", false, tlmember.Alive, "none", ""},
		{3 * time.Second, importing, "a", false, tlmember.Alive, "none", tlsweep.OwnerSilent},
	}},
	{"9 an owner that answers again is no longer unreachable", []poll{
		{0, importing, "a", false, tlmember.Alive, "", ""},
		{time.Second, importing, "a", false, tlmember.Alive, "none", ""},
		{2 * time.Second, importing, "a", false, tlmember.Alive, "yes", ""},
		{3 * time.Second, importing, "a", false, tlmember.Alive, "", ""},
	}},
	{"10 an owner that closes its connection is asked at once", []poll{
		{0, decoding, "a", true, tlmember.Alive, "", ""},
		{time.Second, decoding, "a", false, tlmember.Alive, "none", ""},
		{2 * time.Second, decoding, "a", false, tlmember.Alive, "none", ""},
		{3 * time.Second, decoding, "a", false, tlmember.Alive, "", tlsweep.OwnerSilent},
	}},
	{"11 a disowned attempt that can't be resumed is cancelled at once", []poll{
		{0, importing, "a", false, tlmember.Alive, "", ""},
		{time.Second, importing, "a", false, tlmember.Alive, "no", tlsweep.Disowned},
	}},
	{"12 a disowned stream that is resumed is not cancelled", []poll{
		{0, decoding, "a", true, tlmember.Alive, "", ""},
		{time.Second, decoding, "a", false, tlmember.Alive, "no", ""},
		{1900 * time.Millisecond, decoding, "b", true, tlmember.Alive, "", ""},
		{9 * time.Second, decoding, "b", true, tlmember.Alive, "", ""},
	}},
	{"13 a finished stream holds no memory and is ignored", []poll{
		{0, finished, "a", false, tlmember.Gone, "", ""},
		{time.Hour, finished, "a", false, tlmember.Gone, "", ""},
	}},
}

func TestSweep(t *testing.T) {
	for _, c := range sweepCases {
		t.Run(c.name, func(t *testing.T) {
			s := tlsweep.New(limits)
			for _, m := range c.polls {
				require.Equal(t, m.want, pollOnce(t, s, m), m.at)
			}
		})
	}
}

// pollOnce polls the engine once and returns why the attempt was cancelled, if it was.
func pollOnce(t *testing.T, s *tlsweep.Tracker, m poll) tlsweep.Reason {
	now := time.Unix(1_000, 0).Add(m.at)
	list := []tlwire.StreamInfo{{Attempt: "x", Owner: m.owner, Incarnation: 1, Stage: m.stage, HasReader: m.reader}}
	got := s.Observe(now, "d", list, func(tlsweep.Owner) tlmember.Liveness { return m.liveness })
	for _, q := range s.Questions(now, "d") {
		require.Equal(t, tlsweep.Owner{Name: m.owner, Incarnation: 1}, q.Owner)
		if m.answer == "none" {
			s.NoAnswer(now, q)
			continue
		}
		require.NotEmpty(t, m.answer, "asked at %s", m.at)
		got = append(got, s.Answer(now, q, []bool{m.answer == "yes"})...)
		m.answer = ""
	}
	require.True(t, m.answer == "" || m.answer == "none", "not asked at %s", m.at)
	if len(got) == 0 {
		return ""
	}
	require.Len(t, got, 1)
	require.Equal(t, "x", got[0].Attempt)
	return got[0].Reason
}

func TestAnswerForAnEarlierOwnerIsDropped(t *testing.T) {
	s := tlsweep.New(limits)
	now := time.Unix(1_000, 0)
	live := func(tlsweep.Owner) tlmember.Liveness { return tlmember.Alive }
	s.Observe(now, "d", []tlwire.StreamInfo{{Attempt: "x", Owner: "a", Stage: decoding}}, live)
	q := s.Questions(now.Add(time.Second), "d")
	require.Len(t, q, 1)
	s.Observe(now, "d", []tlwire.StreamInfo{{Attempt: "x", Owner: "b", Stage: decoding}}, live)
	require.Empty(t, s.Answer(now, q[0], []bool{false}))
}

// TestSweepIsBounded polls one stream repeatedly while its owner's liveness and
// connection change at random, and checks that it is cancelled exactly when due.
func TestSweepIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, now := tlsweep.New(limits), time.Unix(1_000, 0)
		var bad, unreachable time.Time
		for range rapid.IntRange(1, 40).Draw(t, "polls") {
			now = now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
			reader := rapid.Bool().Draw(t, "reader")
			liveness := rapid.SampledFrom([]tlmember.Liveness{tlmember.Alive, tlmember.Suspected, tlmember.Gone}).Draw(t, "liveness")
			bad = stateStart(bad, now, liveness == tlmember.Gone)
			unreachable = stateStart(unreachable, now, liveness != tlmember.Alive)
			list := []tlwire.StreamInfo{{Attempt: "x", Owner: "a", Stage: decoding, HasReader: reader}}
			cancels := s.Observe(now, "d", list, func(tlsweep.Owner) tlmember.Liveness { return liveness })
			if liveness == tlmember.Alive {
				require.Empty(t, cancels, "a stream of a live owner that was not asked is not cancelled")
				continue
			}
			late := !bad.IsZero() && now.Sub(bad) >= limits.Grace
			late = late || now.Sub(unreachable) >= limits.PausedTimeout
			late = late || !reader && now.Sub(unreachable) >= limits.SilentTimeout
			require.Equal(t, late, len(cancels) == 1)
		}
	})
}

func stateStart(began, now time.Time, holds bool) time.Time {
	if !holds {
		return time.Time{}
	}
	if began.IsZero() {
		return now
	}
	return began
}
