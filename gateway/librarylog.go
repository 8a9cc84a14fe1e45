package gateway

import (
	"bytes"
	"io"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// libraryLineInterval is the least time between two lines of the HTTP library in the log;
	// an endpoint at fault can have it write one for each answer.
	libraryLineInterval = time.Second
	// maxLibraryLineBytes bounds such a line, which quotes what an endpoint sent.
	maxLibraryLineBytes = 200
)

// libraryLog writes to the instance's log what the HTTP library prints by itself, such as
// that bytes came after a whole answer.
type libraryLog struct {
	log   *logrus.Entry
	now   func() time.Time
	count func(reason string)

	mu   sync.Mutex
	last time.Time
}

// LibraryLog returns the writer that the standard library's default logger is to have.
func (i *Instance) LibraryLog() io.Writer {
	return &libraryLog{log: i.log, now: time.Now, count: i.counters.endpoints.Count}
}

// Write takes one line.
func (l *libraryLog) Write(b []byte) (int, error) {
	l.count(libraryLines)
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := l.now(); now.Sub(l.last) >= libraryLineInterval {
		l.last = now
		text := bytes.TrimSpace(b)
		l.log.WithField("Text", string(text[:min(len(text), maxLibraryLineBytes)])).Warn("the HTTP library reports")
	}
	return len(b), nil
}
