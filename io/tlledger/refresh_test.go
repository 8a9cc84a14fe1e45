package tlledger

import (
	"context"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"trefoillanding/core/tlclaim"
	"trefoillanding/core/tlverdict"
	"trefoillanding/core/tlwire"
)

func testHome(l *fakeLog) *Home {
	return NewHome(HomeOptions{
		Log: l.log(), Streams: 1, AppendsPerSecond: 1000, BatchDelay: time.Millisecond,
		ResolveTimeout: 200 * time.Millisecond, IdleTimeout: time.Hour, Now: l.clock.now,
	})
}

func (h *Home) streamIsRefreshing() bool {
	s, _ := h.acquire(0)
	defer h.release(0)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isRefreshing
}

// knowsLogTime reports whether the home has read a record since the gap, so that the age
// of a key can be judged; the Mark is in the log some time before that.
func (h *Home) knowsLogTime() bool {
	s, _ := h.acquire(0)
	defer h.release(0)
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.table.LacksLogTime()
}

func claimKey(h *Home, key string, nonce uint64) tlwire.ClaimAnswer {
	d := tlclaim.NewDigest([]byte(key))
	return h.Claim(context.Background(), tlwire.ClaimCall{
		Wait:  300 * time.Millisecond,
		Claim: tlwire.Claim{Service: "s", Key: key, Digest: d[:], Nonce: nonce},
	})
}

// Keys without a timestamp outlive the retention of their claims, also at a new
// instance, and new ones are still accepted.
func TestUntimedKeysOutliveRetention(t *testing.T) {
	clock := newFakeClock(0)
	l := newFakeLog(1, clock, faults{retention: 5 * time.Minute})
	old := testHome(l)
	defer old.Close()
	require.Equal(t, tlwire.ClaimAnswerKindHolder, claimKey(old, "pay-0", 1).Kind)
	for i := range 30 {
		clock.advance(30 * time.Second)
		a := claimKey(old, "pay-"+strconv.Itoa(i+1), uint64(i+2))
		require.Equal(t, tlwire.ClaimAnswerKindHolder, a.Kind, a.Message)
		require.Eventually(t, func() bool { return !old.streamIsRefreshing() }, time.Second, time.Millisecond)
	}
	fresh := testHome(l)
	defer fresh.Close()
	for _, h := range []*Home{old, fresh} {
		a := claimKey(h, "pay-0", 100)
		assert.Equal(t, string(tlverdict.ClaimHeld), a.Reason, a.Message)
	}
	assert.Equal(t, tlwire.ClaimAnswerKindHolder, claimKey(fresh, "pay-new", 101).Kind)
	v, _, err := l.snapshot(StreamName(0), l.streams[StreamName(0)].oldest, 1000)
	require.NoError(t, err)
	assert.Greater(t, v.Oldest, uint64(10), "the log has dropped the first claims")
}

// Keys without a timestamp are refused if they were not appended again before retention
// dropped them.
func TestUntimedKeysAreRefusedAfterRetentionGap(t *testing.T) {
	clock := newFakeClock(0)
	l := newFakeLog(1, clock, faults{retention: 5 * time.Minute})
	old := testHome(l)
	require.Equal(t, tlwire.ClaimAnswerKindHolder, claimKey(old, "pay-0", 1).Kind)
	old.Close()
	clock.advance(6 * time.Minute)
	fresh := testHome(l)
	defer fresh.Close()
	a := claimKey(fresh, "pay-0", 2)
	assert.Equal(t, string(tlverdict.KeyTooOld), a.Reason)
	require.Eventually(t, fresh.knowsLogTime, time.Second, time.Millisecond)
	clock.advance(2*tlclaim.KeySkew + time.Second)
	a = claimKey(fresh, timedKey(clock.now()), 3)
	assert.Equal(t, tlwire.ClaimAnswerKindHolder, a.Kind, a.Message)
}

func TestRefreshIntervalFollowsRetainedHistory(t *testing.T) {
	start := time.UnixMilli(1_800_000_000_000)
	cases := []struct {
		name   string
		reach  time.Duration
		since  time.Duration
		oldest uint64
		next   uint64
		isDue  bool
	}{
		{"1 log shorter than the minimum interval", time.Second, time.Second, 1, 3, false},
		{"2 minimum interval reached", 3 * time.Second, 3 * time.Second, 1, 3, true},
		{"3 less than a third of the retained hour", time.Hour, 19 * time.Minute, 1, 3, false},
		{"4 a third of the retained hour", time.Hour, 20 * time.Minute, 1, 3, true},
		{"5 a third of the retained records", time.Hour, time.Minute, 1000, 1300, true},
		{"6 less than a third of the retained records", time.Hour, time.Minute, 1000, 1290, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			k := refreshSchedule{samples: []timeSample{{c.oldest, start}}, oldestOffset: c.oldest, nextOffset: c.next}
			now := start.Add(c.reach)
			assert.Equal(t, c.isDue, k.isDue(now, 1200, now.Add(-c.since)))
		})
	}
}
