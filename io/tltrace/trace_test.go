package tltrace

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
)

func newRecorder(out io.Writer, every uint64, counts map[string]int) *Recorder {
	l := logrus.New()
	l.SetOutput(out)
	l.SetFormatter(&logrus.JSONFormatter{})
	return NewRecorder(logrus.NewEntry(l), every, time.Now, func(reason string) { counts[reason]++ })
}

func TestFailedRequestsAreWrittenInFullAndOthersAreSampled(t *testing.T) {
	var out bytes.Buffer
	counts := map[string]int{}
	r := newRecorder(&out, 4, counts)
	for i := range 8 {
		trace := r.Begin("r")
		trace.Step("placed", logrus.Fields{"Decode": "d"})
		trace.Step("ended", nil)
		trace.End(i == 0)
	}
	assert.Equal(t, 6, strings.Count(out.String(), "\n"), "one failed request and two sampled ones, two lines each")
	assert.Equal(t, map[string]int{TracesWritten: 3, TracesLeftOut: 5}, counts)
	assert.Contains(t, out.String(), `"Request":"r"`)
}

type blockedWriter struct{ release chan struct{} }

func (w blockedWriter) Write(b []byte) (int, error) {
	<-w.release
	return len(b), nil
}

func TestBlockedOutputDoesNotBlockWrites(t *testing.T) {
	s := blockedWriter{make(chan struct{})}
	w := NewWriter(s, 8)
	for range 100 {
		n, err := w.Write([]byte("line\n"))
		assert.NoError(t, err)
		assert.Equal(t, 5, n)
	}
	assert.GreaterOrEqual(t, w.Dropped(), int64(91))
	close(s.release)
	w.Close()
	<-w.Done()
}
