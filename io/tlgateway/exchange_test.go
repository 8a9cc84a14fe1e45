package tlgateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"trefoillanding/core/tlwire"
)

// Guards against logging NotRun for a request that had already been sent when its caller disconnected.
func TestCallerGoneErrorTellsWhetherRequestMayHaveRun(t *testing.T) {
	assert.Equal(t, tlwire.VerdictNotRun, callerGoneError(false).Verdict)
	assert.Equal(t, tlwire.VerdictMayHaveRun, callerGoneError(true).Verdict)
}

// Guards against a Retry-After of 0.000, or one that is over before the wait is.
func TestRetryAfterIsNotShorterThanTheWait(t *testing.T) {
	cases := []struct {
		wait time.Duration
		want string
	}{
		{time.Nanosecond, "0.001"},
		{400 * time.Microsecond, "0.001"},
		{time.Millisecond, "0.001"},
		{1500*time.Millisecond + 1, "1.501"},
		{10 * time.Minute, "600.000"},
	}
	for _, c := range cases {
		assert.Equal(t, c.want, retryAfterText(c.wait), c.wait)
	}
}
