package tlgateway

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"trefoillanding/core/tlcall"
	"trefoillanding/core/tlendpoint"
	"trefoillanding/core/tlroute"
	"trefoillanding/core/tlverdict"
	"trefoillanding/io/tldirectory"
	"trefoillanding/io/tlprober"
	"trefoillanding/io/tlsend"
	"trefoillanding/io/tltrace"
)

func TestPanicOfHandlerIsReportedAndAnswered(t *testing.T) {
	cases := []struct {
		name  string
		cause any
		// isAborted says that the panic goes on to the server, which closes the connection.
		isAborted bool
		reports   int
	}{
		{"1 a fault", "out of range", false, 1},
		{"2 an aborted answer", http.ErrAbortHandler, true, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var reported []any
			counts := map[string]int{}
			g := New(Deps{
				Wire:       Wire{DecodeCall: func(http.Header) tlcall.Call { return tlcall.Call{ID: "id-1"} }},
				BehindFor:  func() time.Duration { return 0 },
				Table:      func() *tlroute.Table { panic(c.cause) },
				IsDraining: func() bool { return false },
				Now:        time.Now,
				Traces:     tltrace.NewRecorder(logrus.NewEntry(logrus.New()), 1000, time.Now, func(string) {}),
				Count:      func(reason string) { counts[reason]++ },
				OnPanic:    func(_ string, cause any) { reported = append(reported, cause) },
			})
			w := httptest.NewRecorder()
			serve := func() { g.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/", nil)) }
			if c.isAborted {
				assert.PanicsWithValue(t, c.cause, serve)
			} else {
				serve()
				assert.Equal(t, http.StatusBadGateway, w.Code)
			}
			assert.Len(t, reported, c.reports)
			assert.Equal(t, c.reports, counts[string(tlverdict.Internal)])
		})
	}
}

func TestPanicOfASendEndsItsRequestOnly(t *testing.T) {
	table, err := tlroute.New(1, []tlroute.Route{{Name: "r", Host: "a.example", Prefix: "/", Kind: tlroute.Idempotent, Attempts: 1, Targets: []tlroute.Target{{Service: "desk", Weight: 1}}}}, []tlroute.Service{{Name: "desk"}}, tlroute.Limits{})
	require.NoError(t, err)
	d := tldirectory.New(rand.New(rand.NewPCG(1, 1)), func(string, bool, bool) {})
	prober := tlprober.New(tlprober.Options{})
	d.Set(time.Now(), []tlendpoint.Endpoint{{ID: "e1", Service: "desk", Slots: 1}})
	var reported []any
	counts := map[string]int{}
	g := New(Deps{
		Wire: Wire{
			DecodeCall:   func(http.Header) tlcall.Call { return tlcall.Call{ID: "id-1", Timeout: time.Second} },
			CleanRequest: http.Header.Clone,
		},
		BehindFor:  func() time.Duration { return 0 },
		Table:      func() *tlroute.Table { return table },
		Directory:  d,
		Prober:     prober,
		Budget:     NewRetryBudget(RetryAllowance{Window: time.Second}, func() int { return 1 }, time.Now),
		IsDraining: func() bool { return false },
		Now:        time.Now,
		Random:     func() float64 { return 0 },
		Traces:     tltrace.NewRecorder(logrus.NewEntry(logrus.New()), 1000, time.Now, func(string) {}),
		Count:      func(reason string) { counts[reason]++ },
		OnPanic:    func(_ string, cause any) { reported = append(reported, cause) },
	})
	// Without a sender each send panics.
	w := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodGet, "/x", nil)
	r.Host = "a.example"
	g.ServeHTTP(w, r)
	assert.Equal(t, http.StatusBadGateway, w.Code)
	assert.Len(t, reported, 1)
	assert.Equal(t, 1, counts[string(tlverdict.Internal)])
}

// Guards against a success made of an answer that another instance was passing on when it ended.
func TestAnswerPassedOnThatEndsWithItsConnectionIsNotWhole(t *testing.T) {
	for _, isFramed := range []bool{true, false} {
		x := &exchange{}
		r := &tlsend.Reply{Body: io.NopCloser(strings.NewReader("an ans")), Length: -1, EndsWithConnection: !isFramed}
		_, err := x.bufferWhole(context.Background(), r, checkForwarded)
		assert.Equal(t, isFramed, err == nil)
	}
}
