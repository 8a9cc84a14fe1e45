package tlmetric

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestHistogramReportsCountQuantilesAndMaximum(t *testing.T) {
	h := NewHistogram()
	for n := range 1000 {
		h.Observe(time.Duration(n) * time.Millisecond)
	}
	h.Observe(time.Hour)
	var shown map[string]float64
	require.NoError(t, json.Unmarshal([]byte(h.String()), &shown))
	assert.Equal(t, 1001.0, shown["Count"])
	assert.InDelta(t, 500, shown["P50Ms"], 10)
	assert.InDelta(t, 990, shown["P99Ms"], 15)
	assert.InDelta(t, 60_000, shown["MaxMs"], 600)
}
