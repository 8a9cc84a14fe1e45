package tlquarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// blame puts a part in quarantine for crashes of requests with the parts.
func blame(t *testing.T, b *Table, parts ...string) string {
	t.Helper()
	for n := range MinCrashes {
		now := at(time.Duration(n-MinCrashes+1) * time.Second)
		part, _, ok := b.Crashed(now, fmt.Sprint("e", n), append(append([]string{}, parts...), request(fmt.Sprint(n))...))
		if ok {
			assert.True(t, b.Quarantine(now, now.Add(HoldTime), part))
			return part
		}
	}
	t.Fatal("no part was blamed")
	return ""
}

// trials returns when a request that comes every 100 ms is tried.
func trials(b *Table, until time.Duration, parts ...string) []time.Duration {
	var list []time.Duration
	for d := time.Duration(0); d < until; d += 100 * time.Millisecond {
		if _, _, ok := b.Try(at(d), parts); ok {
			list = append(list, d)
		}
	}
	return list
}

func TestPartInQuarantineIsTriedSparingly(t *testing.T) {
	const s = time.Second
	cases := []struct {
		name    string
		crashed []string
		request []string
		want    []time.Duration
	}{
		{"1 like those that crashed", []string{"x", "a"}, []string{"x", "a"}, trialDelays},
		{"2 without one of their parts: at once", []string{"x", "a"}, []string{"a"}, []time.Duration{0, 2 * s, 4 * s}},
		{"3 with the only part in common", []string{"a"}, []string{"b", "a"}, trialDelays},
		{"4 without the part", []string{"x", "a"}, []string{"x"}, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := New()
			assert.Equal(t, "a", blame(t, b, c.crashed...))
			assert.Equal(t, c.want, trials(b, HoldTime, c.request...))
		})
	}
}

func TestTrialThatCrashesNarrowsWhatMayBeToBlame(t *testing.T) {
	b := New()
	blame(t, b, "x", "a")
	_, n, ok := b.Try(start, []string{"a"})
	assert.True(t, ok)
	assert.Equal(t, 1, n)
	b.Crashed(at(time.Second), "e9", []string{"a"})
	assert.Equal(t, trialDelays[1:], trials(b, HoldTime, "a"))
}

func TestAnswerToATrialBlamesThePartThatItLacked(t *testing.T) {
	b := New()
	blame(t, b, "x", "a")
	_, _, ok := b.Try(start, []string{"a", "b"})
	assert.True(t, ok)
	assert.Equal(t, []string{"a"}, b.Answered(at(time.Second), []string{"a", "b"}))
	part, _, ok := b.Reassess(at(time.Second))
	assert.True(t, ok)
	assert.Equal(t, "x", part)
}

func TestRequestWithTwoPartsInQuarantineIsNotTried(t *testing.T) {
	b := New()
	b.Quarantine(start, at(HoldTime), "x")
	b.Quarantine(start, at(HoldTime), "y")
	assert.Empty(t, trials(b, HoldTime, "x", "y"))
	assert.Len(t, trials(b, HoldTime, "x"), len(trialDelays))
}

// A home that takes over must not make the trials anew that the one before has made.
func TestTrialsOfAHomeBeforeCount(t *testing.T) {
	cases := []struct {
		name string
		set  func(b *Table)
		want int
	}{
		{"1 by its word", func(b *Table) {
			b.Quarantine(start, at(HoldTime), "a")
			b.Tried(start, "a", 2)
		}, len(trialDelays) - 2},
		{"2 by the age of the record", func(b *Table) {
			b.Quarantine(at(trialDelays[1]+time.Second), at(HoldTime), "a")
		}, len(trialDelays) - 2},
		{"3 by an old record", func(b *Table) {
			b.Quarantine(at(HoldTime/2), at(HoldTime), "a")
		}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := New()
			c.set(b)
			assert.Len(t, trials(b, HoldTime, "a"), c.want)
		})
	}
}

func TestPartsBesideAreTakenByWordOnlyWithoutCrashesOfOnesOwn(t *testing.T) {
	b := New()
	b.Quarantine(start, at(HoldTime), "a")
	b.SetBeside("a", []string{"x", "a"})
	assert.Equal(t, []time.Duration{0, 2 * time.Second, 4 * time.Second}, trials(b, HoldTime, "a"))
	b = New()
	blame(t, b, "x", "a")
	b.SetBeside("a", nil)
	beside, _ := b.Beside("a")
	assert.Equal(t, []string{"x", "a"}, beside)
}
