package tlstandin

import (
	"context"
	"slices"
	"sync"
	"time"

	"trefoillanding/core/tlwire"
)

const defaultReadLimit = 1_000

// logStream is one append-only stream of the platform's log.
type logStream struct {
	keepFor time.Duration
	keep    int

	mutex   sync.Mutex
	oldest  uint64
	records []tlwire.LogRecord
	grown   chan struct{}
}

func newLogStream(keepFor time.Duration, keep int) *logStream {
	return &logStream{keepFor: keepFor, keep: keep, oldest: 1, grown: make(chan struct{})}
}

func (s *logStream) append(now time.Time, data [][]byte) uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	first := s.next()
	for i, d := range data {
		r := tlwire.LogRecord{Offset: first + uint64(i), Time: now, Data: d}
		s.records = append(s.records, r)
	}
	s.drop(now)
	close(s.grown)
	s.grown = make(chan struct{})
	return first
}

func (s *logStream) read(now time.Time, from uint64, limit int) tlwire.ReadResult {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.drop(now)
	v := tlwire.ReadResult{Oldest: s.oldest, Next: s.next(), Records: []tlwire.LogRecord{}}
	from = max(from, s.oldest)
	if from >= v.Next {
		return v
	}
	if limit <= 0 {
		limit = defaultReadLimit
	}
	r := s.records[from-s.oldest:]
	v.Records = slices.Clone(r[:min(limit, len(r))])
	return v
}

// wait returns when there is a record at an offset, or after d.
func (s *logStream) wait(c context.Context, offset uint64, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	for {
		s.mutex.Lock()
		there, grown := s.next() > offset, s.grown
		s.mutex.Unlock()
		if there {
			return
		}
		select {
		case <-grown:
		case <-t.C:
			return
		case <-c.Done():
			return
		}
	}
}

// next needs the mutex.
func (s *logStream) next() uint64 {
	return s.oldest + uint64(len(s.records))
}

// drop forgets what is older than the retention; it needs the mutex.
func (s *logStream) drop(now time.Time) {
	n := 0
	if s.keep > 0 {
		n = max(0, len(s.records)-s.keep)
	}
	for s.keepFor > 0 && n < len(s.records) && now.Sub(s.records[n].Time) > s.keepFor {
		n++
	}
	s.records = s.records[n:]
	s.oldest += uint64(n)
}
