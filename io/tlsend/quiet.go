package tlsend

import (
	"io"
	"sync"
	"time"
)

// quiet measures for how long nothing at all has been heard of endpoints while answers are awaited.
type quiet struct {
	mu   sync.Mutex
	open int
	// since is when something was last heard, or the first of the open sends began.
	since time.Time
}

func (q *quiet) begin() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.open == 0 {
		q.since = time.Now()
	}
	q.open++
}

func (q *quiet) end() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.open--
}

func (q *quiet) heard() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.since = time.Now()
}

func (q *quiet) duration() time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.open == 0 {
		return 0
	}
	return time.Since(q.since)
}

// QuietFor returns how long nothing has been heard of any endpoint while answers are
// awaited; 0 if none are.
func (s *Sender) QuietFor() time.Duration {
	return s.quiet.duration()
}

// openBody is the body of an answer; onClose is called once it is closed.
type openBody struct {
	io.ReadCloser
	onClose func()
}

// Close closes the body.
func (b *openBody) Close() error {
	err := b.ReadCloser.Close()
	b.onClose()
	return err
}
