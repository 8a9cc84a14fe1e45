package tlgateway

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"trefoillanding/core/tlwire"
)

// Guards against logging NotRun for a request that had already been sent when its caller disconnected.
func TestCallerGoneErrorTellsWhetherRequestMayHaveRun(t *testing.T) {
	assert.Equal(t, tlwire.VerdictNotRun, callerGoneError(false).Verdict)
	assert.Equal(t, tlwire.VerdictMayHaveRun, callerGoneError(true).Verdict)
}
