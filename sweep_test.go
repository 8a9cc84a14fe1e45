package trefoillanding

import (
	"bytes"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"trefoillanding/io/tlstandin"
)

// leaveStream opens a stream at the first instance for a caller that never resumes it.
func (s *cluster) leaveStream(t *testing.T, n int) {
	t.Helper()
	b, err := json.Marshal(map[string]any{
		"model": "kiosk-llm", "prompt": summaryRequest(n, 100_000).Prompt, "max_tokens": 4_000, "stream": true,
	})
	require.NoError(t, err)
	w, err := http.Post("http://"+s.settings[0].Listen.String()+"/v1/completions", "application/json", bytes.NewReader(b))
	require.NoError(t, err)
	t.Cleanup(func() { _ = w.Body.Close() })
	require.Equal(t, http.StatusOK, w.StatusCode)
	_, err = w.Body.Read(make([]byte, 1))
	require.NoError(t, err)
}

func TestEngineMemoryIsFreedWhenNoCallerResumesAfterInstanceFailure(t *testing.T) {
	s := newCluster(t, func(b *tlstandin.Behaviour) { b.TokenEvery = 100 * time.Millisecond })
	for n := range 6 {
		s.leaveStream(t, n)
	}
	require.Positive(t, s.deployment.PiecesHeld())
	s.instances[0].Close()
	require.Positive(t, s.deployment.PiecesHeld())
	s.requireNoMemoryHeld(t, 5*time.Second)
}
