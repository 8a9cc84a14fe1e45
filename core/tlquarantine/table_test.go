package tlquarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time {
	return start.Add(d)
}

// step is a crash of an engine, or an answer where no engine is given.
type step struct {
	at     time.Duration
	engine string
	parts  []string
}

// play returns the parts blamed for the steps; each is quarantined at once.
func play(t *Table, steps []step) []string {
	var blamed []string
	for _, s := range steps {
		if s.engine == "" {
			t.Answered(at(s.at), s.parts)
			continue
		}
		if part, _, ok := t.Crashed(at(s.at), s.engine, s.parts); ok {
			blamed = append(blamed, part)
			t.Quarantine(at(s.at), at(s.at+HoldTime), part)
		}
	}
	return blamed
}

func TestWhichPartIsBlamedForCrashes(t *testing.T) {
	const s = time.Second
	x := func(n int) []string { return []string{"a", "x", fmt.Sprint("b", n)} }
	cases := []struct {
		name  string
		steps []step
		want  []string
	}{
		{"1 the one that crashed requests have in common and no answer has", []step{
			{0, "e1", x(1)}, {s, "e2", x(2)}, {s, "", []string{"a", "b1"}}, {2 * s, "e3", x(3)},
		}, []string{"x"}},
		{"2 the last of those in common before any answer", []step{
			{0, "e1", x(1)}, {s, "e2", x(2)}, {2 * s, "e3", x(3)},
		}, []string{"x"}},
		{"3 the first part", []step{
			{0, "e1", []string{"x", "b1"}}, {s, "e2", []string{"x", "b2"}}, {2 * s, "e3", []string{"x", "b3"}},
		}, []string{"x"}},
		{"4 none while answers begin on all parts", []step{
			{0, "", x(1)}, {s, "e1", x(1)}, {2 * s, "e2", x(1)}, {3 * s, "e3", x(1)},
		}, nil},
		{"5 none for crashes of one incarnation", []step{
			{0, "e1", x(1)}, {s, "e1", x(2)}, {2 * s, "e1", x(3)}, {3 * s, "e2", x(3)},
		}, nil},
		{"6 none for crashes at one moment", []step{
			{0, "e1", x(1)}, {0, "e2", x(2)}, {s / 10, "e3", x(3)}, {s / 5, "e4", x(3)},
		}, nil},
		{"7 none for crashes too long apart", []step{
			{0, "e1", x(1)}, {EvidenceTime - s, "e2", x(2)}, {EvidenceTime, "e3", x(3)},
		}, nil},
		{"8 an answer long ago protects no more", []step{
			{0, "", x(1)}, {EvidenceTime, "e1", x(1)}, {EvidenceTime + s, "e2", x(2)}, {EvidenceTime + 2*s, "e3", x(3)},
		}, []string{"x"}},
		{"9 crashes that one part explains are no evidence against those beside it", []step{
			{0, "e1", x(1)}, {s, "e2", x(2)}, {2 * s, "e3", x(3)}, {3 * s, "e4", x(4)}, {4 * s, "e5", []string{"a", "c"}},
		}, []string{"x"}},
		{"10 another beside it once an answer has cleared the first one blamed", []step{
			{0, "e1", []string{"x", "a"}},
			{s, "e2", []string{"x", "a"}},
			{2 * s, "e3", []string{"x", "a"}},
			{2 * s, "", []string{"y", "a"}},
			{3 * s, "e4", []string{"x", "a"}},
			{4 * s, "e5", []string{"x", "a"}},
		}, []string{"a", "x"}},
		{"11 none without parts", []step{{0, "e1", nil}, {s, "e2", nil}, {2 * s, "e3", nil}}, nil},
		{"12 another part after the first", []step{
			{0, "e1", x(1)},
			{s, "e2", x(2)},
			{2 * s, "e3", x(3)},
			{3 * s, "e4", []string{"y"}},
			{4 * s, "e5", []string{"y"}},
			{5 * s, "e6", []string{"y"}},
		}, []string{"x", "y"}},
	}
	for _, c := range cases {
		assert.Equal(t, c.want, play(New(), c.steps), c.name)
	}
}

func TestQuarantineEndsAndOneCrashPutsAPartBack(t *testing.T) {
	b := New()
	assert.True(t, b.Quarantine(start, at(2*HoldTime), "x"))
	assert.False(t, b.Quarantine(start, at(2*HoldTime), "x"), "it is no news")
	part, left, ok := b.Held(start, []string{"a", "x"})
	assert.True(t, ok)
	assert.Equal(t, "x", part)
	assert.Equal(t, HoldTime, left, "no longer than HoldTime")
	assert.Empty(t, b.Expired(at(HoldTime-1)))
	_, _, ok = b.Held(at(HoldTime), []string{"x"})
	assert.False(t, ok)
	assert.Equal(t, []string{"x"}, b.Expired(at(HoldTime)))
	assert.Empty(t, b.Expired(at(HoldTime)))
	assert.True(t, b.held.isEmpty())
	part, engines, ok := b.Crashed(at(HoldTime+time.Second), "e1", []string{"a", "x", "b"})
	assert.True(t, ok)
	assert.Equal(t, "x", part)
	assert.Equal(t, []string{"e1"}, engines)
	assert.False(t, b.Quarantine(at(2*HoldTime), at(HoldTime), "y"), "it has ended already")
}

func TestAnswerLiftsAQuarantine(t *testing.T) {
	b := New()
	b.Quarantine(start, at(HoldTime), "x")
	assert.Equal(t, []string{"x"}, b.Answered(at(time.Second), []string{"a", "x"}))
	_, _, ok := b.Held(at(time.Second), []string{"x"})
	assert.False(t, ok)
	assert.False(t, b.Lift(at(time.Second), "x"))
	assert.Empty(t, play(b, []step{{time.Minute, "e1", []string{"x"}}, {2 * time.Minute, "e2", []string{"x"}}, {3 * time.Minute, "e3", []string{"x"}}}))
}

func TestTableIsBounded(t *testing.T) {
	b := New()
	for n := range 2 * maxParts {
		b.Quarantine(start, at(HoldTime), fmt.Sprint("x", n))
		b.Answered(start, []string{fmt.Sprint("a", n)})
	}
	for n := range 2 * maxCrashes {
		b.Crashed(start, fmt.Sprint("e", n), []string{fmt.Sprint("y", n)})
	}
	assert.Len(t, b.held.byPart, maxParts)
	assert.Len(t, b.answered.byPart, maxParts)
	assert.Equal(t, maxParts, b.answered.order.Len())
	assert.Len(t, b.crashes, maxCrashes)
	_, _, ok := b.Held(start, []string{fmt.Sprint("x", 2*maxParts-1)})
	assert.True(t, ok, "the oldest yield")
}

func request(text string) []string {
	return Request{Path: text}.Parts()
}

func TestRequestThatComesAgainIsBlamed(t *testing.T) {
	x, y := request("x"), request("y")
	crash := func(t *Table, n int, parts []string) (string, bool) {
		part, _, ok := t.Crashed(at(time.Duration(n)*10*time.Millisecond), fmt.Sprint("e", n), parts)
		return part, ok
	}
	cases := []struct {
		name  string
		parts func(n int) []string
		want  string
	}{
		{"1 the same each time, within a moment", func(int) []string { return x }, x[1]},
		{"2 with another query each time", func(n int) []string {
			return Request{Path: "x", Query: fmt.Sprint(n)}.Parts()
		}, x[0]},
		{"3 another each time", func(n int) []string { return request(fmt.Sprint(n)) }, ""},
		{"4 beside a shared part of its prompt", func(int) []string { return append([]string{"a"}, x...) }, x[1]},
		{"5 every other time", func(n int) []string { return [][]string{x, y}[n%2] }, x[1]},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b, blamed := New(), ""
			for n := range 2*MinCrashes - 1 {
				if part, ok := crash(b, n, c.parts(n)); ok && blamed == "" {
					blamed = part
				}
			}
			assert.Equal(t, c.want, blamed)
		})
	}
}

func TestEndpointThatLivesOnDidNotCrash(t *testing.T) {
	b, x := New(), request("x")
	play := func() (string, bool) {
		var part string
		var ok bool
		for n := range MinCrashes {
			part, _, ok = b.Crashed(at(time.Duration(n)*time.Second), fmt.Sprint("e", n), x)
		}
		return part, ok
	}
	part, ok := play()
	assert.True(t, ok)
	b.Quarantine(at(2*time.Second), at(time.Minute), part)
	assert.Empty(t, b.Alive(at(3*time.Second), start, "e0"), "a request sent before")
	assert.Empty(t, b.Alive(at(3*time.Second), at(3*time.Second), "another"))
	assert.Equal(t, []string{x[1]}, b.Alive(at(3*time.Second), at(3*time.Second), "e0"))
	_, _, held := b.Held(at(3*time.Second), x)
	assert.False(t, held)
	part, _, ok = b.Crashed(at(4*time.Second), "e4", x)
	assert.True(t, ok, "the other crashes still count")
	assert.Equal(t, x[1], part)
}

// A quarantine that another instance has decided on is not judged by what is known here.
func TestQuarantineByRecordOutlastsCrashesThatWereNone(t *testing.T) {
	b, x := New(), request("x")
	b.Crashed(start, "e0", x)
	b.Quarantine(start, at(time.Minute), x[1])
	assert.Empty(t, b.Alive(at(time.Second), at(time.Second), "e0"))
}

func TestCrashThatIsToldAgainCountsOnce(t *testing.T) {
	b, x := New(), request("x")
	b.Crashed(at(2*time.Second), "e2", x)
	b.Crashed(at(2*time.Second), "e2", x)
	_, _, ok := b.Crashed(at(time.Second), "e1", x)
	assert.False(t, ok)
	part, endpoints, ok := b.Crashed(start, "e0", x)
	assert.True(t, ok, "an older one, told late")
	assert.Equal(t, x[1], part)
	assert.Equal(t, []string{"e0", "e1", "e2"}, endpoints)
}

func TestAnotherPartIsBlamedOnceAnAnswerHasClearedTheFirst(t *testing.T) {
	b := New()
	for n := range MinCrashes {
		b.Crashed(at(time.Duration(n)*time.Second), fmt.Sprint("e", n), []string{"x", "a"})
	}
	b.Quarantine(at(3*time.Second), at(time.Minute), "a")
	_, _, ok := b.Reassess(at(3 * time.Second))
	assert.False(t, ok)
	assert.Equal(t, []string{"a"}, b.Answered(at(4*time.Second), []string{"a"}))
	part, _, ok := b.Reassess(at(4 * time.Second))
	assert.True(t, ok)
	assert.Equal(t, "x", part)
}

// Requests that never come again must not push out the answers on parts that many share.
func TestFloodOfRequestsClearsNoSharedPartOfItsAnswers(t *testing.T) {
	b := New()
	b.Answered(start, []string{"a"})
	for n := range 2 * maxParts {
		b.Answered(at(time.Second), request(fmt.Sprint(n)))
	}
	assert.True(t, b.IsCleared(at(time.Second), "a"))
	assert.Len(t, b.answeredRequests.byPart, maxRequests)
}
