package tlledger

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"trefoillanding/core/tlverdict"
	"trefoillanding/core/tlwire"
)

func TestThreeFailuresInARowBeginOutage(t *testing.T) {
	now := time.UnixMilli(1_800_000_000_000)
	var h circuitBreaker
	assert.False(t, h.record(false))
	assert.False(t, h.record(false))
	assert.False(t, h.record(true))
	assert.True(t, h.allow(now))
	assert.False(t, h.record(false))
	assert.False(t, h.record(false))
	assert.True(t, h.record(false), "the third failure in a row begins an outage")
	assert.True(t, h.allow(now), "a probe")
	assert.False(t, h.allow(now.Add(probeInterval-1)))
	assert.True(t, h.allow(now.Add(probeInterval)))
	h.record(true)
	assert.True(t, h.allow(now))
}

// During an outage of the log, new claims are refused immediately, and known keys are
// still answered.
func TestClaimsAreRefusedImmediatelyDuringOutage(t *testing.T) {
	l := newFakeLog(1, newFakeClock(1), faults{})
	h := testHome(l)
	defer h.Close()
	require.Equal(t, tlwire.ClaimAnswerKindHolder, claimKey(h, "pay-0", 1).Kind)
	l.setOutage(true)
	for i := range outageFailures {
		a := claimKey(h, "pay-1", uint64(i+2))
		assert.Equal(t, string(tlverdict.LogUnavailable), a.Reason)
		assert.True(t, a.IsUnresolved)
	}
	_ = claimKey(h, "pay-1", 10)
	a := claimKey(h, "pay-2", 11)
	assert.Equal(t, string(tlverdict.LogUnavailable), a.Reason)
	assert.False(t, a.IsUnresolved, "nothing was appended")
	assert.Equal(t, string(tlverdict.ClaimHeld), claimKey(h, "pay-0", 12).Reason)
	l.setOutage(false)
	require.Eventually(t, func() bool {
		return claimKey(h, "pay-2", 13).Kind == tlwire.ClaimAnswerKindHolder
	}, 3*time.Second, 20*time.Millisecond)
}
