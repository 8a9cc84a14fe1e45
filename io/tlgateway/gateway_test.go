package tlgateway

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"

	"trefoillanding/core/tlcall"
	"trefoillanding/core/tlroute"
	"trefoillanding/io/tltrace"
)

func TestPanicOfHandlerIsCountedAndLoggedWithItsStack(t *testing.T) {
	cases := []struct {
		name  string
		cause any
		count int
	}{
		{"1 a fault", "out of range", 1},
		{"2 an aborted answer", http.ErrAbortHandler, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var out bytes.Buffer
			l := logrus.New()
			l.SetOutput(&out)
			counts := map[string]int{}
			g := New(Deps{
				Wire:       Wire{DecodeCall: func(http.Header) tlcall.Call { return tlcall.Call{ID: "id-1"} }},
				Table:      func() *tlroute.Table { panic(c.cause) },
				IsDraining: func() bool { return false },
				Now:        time.Now,
				Traces:     tltrace.NewRecorder(logrus.NewEntry(l), 1000, time.Now, func(string) {}),
				Count:      func(reason string) { counts[reason]++ },
			})
			assert.PanicsWithValue(t, c.cause, func() {
				g.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/", nil))
			})
			assert.Equal(t, c.count, counts[Panicked])
			assert.Equal(t, c.count == 1, bytes.Contains(out.Bytes(), []byte("gateway_test.go")))
		})
	}
}
