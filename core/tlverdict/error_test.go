package tlverdict

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"trefoillanding/core/tlwire"
)

func TestVerdictGoesWithItsStatuses(t *testing.T) {
	allowed := map[tlwire.Verdict][]int{
		tlwire.VerdictNotRun:     {400, 404, 405, 413, 429, 503},
		tlwire.VerdictMayHaveRun: {502, 504, 409},
	}
	for r, k := range kinds {
		assert.Contains(t, allowed[k.verdict], k.status, r)
	}
}
