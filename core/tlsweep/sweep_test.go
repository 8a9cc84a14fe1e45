package tlsweep_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"trefoillanding/core/tlsweep"
	"trefoillanding/core/tlwire"
)

var limits = tlsweep.NewLimits(time.Second)

// moment is one poll of an engine: what is known then and what is expected.
type moment struct {
	at     time.Duration
	stage  tlwire.Stage
	owner  string
	reader bool
	fate   tlsweep.Fate
	answer string // of the owner, if it is asked: yes, no or none
	want   tlsweep.Reason
}

const (
	queued    = tlwire.StageQueued
	importing = tlwire.StageImporting
	decoding  = tlwire.StageDecoding
	finished  = tlwire.StageFinished
)

var sweepCases = []struct {
	name    string
	moments []moment
}{
	{"1 a live reader is left alone", []moment{
		{0, decoding, "a", true, tlsweep.Live, "", ""},
		{time.Hour, decoding, "a", true, tlsweep.Live, "", ""},
	}},
	{"2 a stream waits for its grace", []moment{
		{0, decoding, "a", true, tlsweep.Live, "", ""},
		{time.Second, decoding, "a", false, tlsweep.Gone, "", ""},
		{1900 * time.Millisecond, decoding, "a", false, tlsweep.Gone, "", ""},
		{2 * time.Second, decoding, "a", false, tlsweep.Gone, "", tlsweep.OwnerGone},
		{3 * time.Second, decoding, "a", false, tlsweep.Gone, "", tlsweep.OwnerGone},
	}},
	{"3 a resumed stream belongs to the later owner", []moment{
		{0, decoding, "a", false, tlsweep.Gone, "", ""},
		{900 * time.Millisecond, decoding, "b", true, tlsweep.Live, "", ""},
		{5 * time.Second, decoding, "b", true, tlsweep.Live, "", ""},
	}},
	{"4 what can't be resumed goes at once", []moment{
		{0, queued, "a", false, tlsweep.Gone, "", tlsweep.OwnerGone},
		{0, importing, "a", false, tlsweep.Gone, "", tlsweep.OwnerGone},
	}},
	{"5 a silent owner is waited for, with and without its connection", []moment{
		{0, decoding, "a", true, tlsweep.Suspect, "", ""},
		{4900 * time.Millisecond, decoding, "a", true, tlsweep.Suspect, "", ""},
		{4950 * time.Millisecond, decoding, "a", false, tlsweep.Suspect, "none", tlsweep.OwnerSilent},
		{5 * time.Second, decoding, "a", true, tlsweep.Suspect, "", tlsweep.OwnerPaused},
	}},
	{"6 a paused owner that wakes keeps its stream", []moment{
		{0, decoding, "a", true, tlsweep.Suspect, "", ""},
		{4 * time.Second, decoding, "a", true, tlsweep.Live, "", ""},
		{8 * time.Second, decoding, "a", true, tlsweep.Suspect, "", ""},
	}},
	{"7 an unread attempt is asked for", []moment{
		{0, decoding, "a", false, tlsweep.Live, "", ""},
		{time.Second, decoding, "a", false, tlsweep.Live, "yes", ""},
		{3 * time.Second, decoding, "a", false, tlsweep.Live, "", ""},
		{6 * time.Second, decoding, "a", false, tlsweep.Live, "no", tlsweep.Disowned},
	}},
	{"8 an owner that does not answer counts as silent", []moment{
		{0, importing, "a", false, tlsweep.Live, "", ""},
		{time.Second, importing, "a", false, tlsweep.Live, "none", ""},
		{2 * time.Second, importing, "a", false, tlsweep.Live, "none", ""},
		{3 * time.Second, importing, "a", false, tlsweep.Live, "none", tlsweep.OwnerSilent},
	}},
	{"9 an owner that answers again is no longer silent", []moment{
		{0, importing, "a", false, tlsweep.Live, "", ""},
		{time.Second, importing, "a", false, tlsweep.Live, "none", ""},
		{2 * time.Second, importing, "a", false, tlsweep.Live, "yes", ""},
		{3 * time.Second, importing, "a", false, tlsweep.Live, "", ""},
	}},
	{"10 a finished stream holds no memory", []moment{
		{0, finished, "a", false, tlsweep.Gone, "", ""},
		{time.Hour, finished, "a", false, tlsweep.Gone, "", ""},
	}},
}

func TestSweep(t *testing.T) {
	for _, c := range sweepCases {
		t.Run(c.name, func(t *testing.T) {
			s := tlsweep.New(limits)
			for _, m := range c.moments {
				require.Equal(t, m.want, run(t, s, m), m.at)
			}
		})
	}
}

// run polls once and returns why the attempt was cancelled, if it was.
func run(t *testing.T, s *tlsweep.Sweep, m moment) tlsweep.Reason {
	now := time.Unix(1_000, 0).Add(m.at)
	list := []tlwire.StreamInfo{{Attempt: "x", Owner: m.owner, Incarnation: 1, Stage: m.stage, HasReader: m.reader}}
	got := s.See(now, "d", list, func(tlsweep.Owner) tlsweep.Fate { return m.fate })
	for _, q := range s.Questions(now, "d") {
		require.Equal(t, tlsweep.Owner{Name: m.owner, Incarnation: 1}, q.Owner)
		if m.answer == "none" {
			s.NoAnswer(now, q)
			continue
		}
		require.NotEmpty(t, m.answer, "asked at %s", m.at)
		got = append(got, s.Answer(q, []bool{m.answer == "yes"})...)
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
	live := func(tlsweep.Owner) tlsweep.Fate { return tlsweep.Live }
	s.See(now, "d", []tlwire.StreamInfo{{Attempt: "x", Owner: "a", Stage: decoding}}, live)
	q := s.Questions(now.Add(time.Second), "d")
	require.Len(t, q, 1)
	s.See(now, "d", []tlwire.StreamInfo{{Attempt: "x", Owner: "b", Stage: decoding}}, live)
	require.Empty(t, s.Answer(q[0], []bool{false}))
}
