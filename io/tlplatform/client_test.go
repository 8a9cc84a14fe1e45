package tlplatform

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"trefoillanding/core/tlwire"
	"trefoillanding/io/tlstandin"
)

func newTestClient(t *testing.T, h http.HandlerFunc) *Client {
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	c := New(netip.MustParseAddrPort(s.Listener.Addr().String()), 300*time.Millisecond)
	t.Cleanup(c.Close)
	return c
}

func hangUp(w http.ResponseWriter, _ *http.Request) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err == nil {
		_ = c.Close()
	}
}

func stall(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

func TestAppendErrorsSayWhetherRecordsMayBeAppended(t *testing.T) {
	cases := []struct {
		name              string
		handler           http.HandlerFunc
		provesNotAppended bool
	}{
		{"1 rate limit exceeded", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(429) }, true},
		{"2 server error", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500) }, false},
		{"3 unavailable", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(503) }, false},
		{"4 connection closed without response", hangUp, false},
		{"5 response stalled", stall, false},
		{"6 response truncated", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{"First`)) }, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := newTestClient(t, c.handler).Append(context.Background(), "s", [][]byte{{1}})
			var notAppended *NotAppendedError
			var mayBeAppended *MayBeAppendedError
			if c.provesNotAppended {
				assert.ErrorAs(t, err, &notAppended)
			} else {
				assert.ErrorAs(t, err, &mayBeAppended)
			}
		})
	}
}

func TestAppendWithoutConnectionIsNotAppended(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	a := netip.MustParseAddrPort(l.Addr().String())
	require.NoError(t, l.Close())
	_, err = New(a, time.Second).Append(context.Background(), "s", [][]byte{{1}})
	var no *NotAppendedError
	assert.ErrorAs(t, err, &no)
}

func TestReadOfExpiredOffsetReturnsRetentionError(t *testing.T) {
	c := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusGone)
		_ = json.NewEncoder(w).Encode(tlwire.ReadResult{Oldest: 7, Next: 9})
	})
	_, err := c.Read(context.Background(), "s", 1, 10, 0)
	var retention *RetentionError
	require.ErrorAs(t, err, &retention)
	assert.Equal(t, uint64(7), retention.Oldest)
}

func TestCallsAreNotBlockedByACircuitBreaker(t *testing.T) {
	broken := true
	c := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) {
		if broken {
			w.WriteHeader(500)
			return
		}
		_ = json.NewEncoder(w).Encode(tlwire.AppendResult{FirstOffset: 1})
	})
	for range 200 {
		_, err := c.Append(context.Background(), "s", nil)
		require.Error(t, err)
	}
	broken = false
	for range 50 {
		_, err := c.Append(context.Background(), "s", nil)
		require.NoError(t, err)
	}
}

// Guards against records that are taken for appended by a broken response.
func TestBrokenResponseProvesNoAppend(t *testing.T) {
	for _, b := range tlstandin.BrokenAnswers {
		t.Run(b.Name, func(t *testing.T) {
			p, err := tlstandin.NewBroken(b, `{"FirstOffset":7}`)
			require.NoError(t, err)
			t.Cleanup(p.Close)
			c := New(p.Address(), 2*time.Second)
			t.Cleanup(c.Close)
			_, err = c.Append(context.Background(), "s", [][]byte{make([]byte, tlstandin.UploadBytes)})
			var mayBeAppended *MayBeAppendedError
			assert.ErrorAs(t, err, &mayBeAppended)
		})
	}
}
