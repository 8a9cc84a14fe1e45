package tlanswer

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// BenchmarkRoundTrip measures a small request on a kept connection, through http.Transport and
// through Transport.
func BenchmarkRoundTrip(b *testing.B) {
	base := func() *http.Transport { return &http.Transport{DisableCompression: true} }
	for name, t := range map[string]http.RoundTripper{"http": base(), "tlanswer": New(base())} {
		b.Run(name, func(b *testing.B) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(w, "an answer")
			}))
			defer s.Close()
			b.ReportAllocs()
			for b.Loop() {
				q, err := http.NewRequest(http.MethodPost, s.URL, strings.NewReader("a request"))
				require.NoError(b, err)
				a, err := t.RoundTrip(q)
				require.NoError(b, err)
				_, err = io.Copy(io.Discard, a.Body)
				require.NoError(b, err)
				require.NoError(b, a.Body.Close())
			}
		})
	}
}
