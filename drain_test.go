package trefoillanding

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"trefoillanding/core/tlwire"
	"trefoillanding/io/tlentry"
)

// offers reports whether the instance at an address lists another one for callers.
func offers(t *testing.T, at, other netip.AddrPort) bool {
	t.Helper()
	w, err := http.Get("http://" + at.String() + "/v1/entries?Service=kiosk-llm")
	require.NoError(t, err)
	defer w.Body.Close()
	var list tlwire.Entries
	require.NoError(t, json.NewDecoder(w.Body).Decode(&list))
	for _, e := range list.Entries {
		if e.Address == other {
			return true
		}
	}
	return false
}

func accepts(at netip.AddrPort) bool {
	w, err := http.Get("http://" + at.String() + "/healthz")
	if err != nil {
		return false
	}
	_ = w.Body.Close()
	return true
}

func TestDrainingInstanceAcceptsWhileStillListed(t *testing.T) {
	s := newCluster(t, nil)
	leaving, others := s.settings[0].Listen, s.settings[1:]
	var lastOffered time.Time
	drained := make(chan error, 1)
	go func() { drained <- s.instances[0].Drain(withTimeout(t, 20*time.Second)) }()
	for accepts(leaving) {
		for _, v := range others {
			if asked := time.Now(); offers(t, v.Listen, leaving) {
				lastOffered = asked
			}
		}
	}
	assert.Greater(t, time.Since(lastOffered), s.settings[0].Drain.KeepFor)
	require.NoError(t, <-drained)
}

func TestSIGTERMAloneDoesNotStopServer(t *testing.T) {
	s := newCluster(t, nil)
	signals := tlentry.TakeSignals()
	defer signal.Stop(signals)
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	<-signals
	assert.Never(t, func() bool {
		return !accepts(s.settings[0].Listen) || len(signals) > 0
	}, 7*time.Second, 100*time.Millisecond, "the HTTP library acted on the signal")
}
