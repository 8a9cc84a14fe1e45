package tlledger

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"trefoillanding/core/tlclaim"
	"trefoillanding/core/tlrecord"
	"trefoillanding/core/tlwire"
)

var errOut = errors.New("the log is out")

// Stream folds one stream of claims and appends to it.
type Stream struct {
	name     string
	log      Log
	appender *Appender
	reader   *Reader
	now      func() time.Time
	ready    chan struct{}

	mu      sync.Mutex
	table   *tlclaim.Table
	answers *answers
	changed map[tlclaim.ID]*watch
	mine    map[uint64]chan struct{}
	isReady bool
	keeper  keeper
	keeping bool
}

// NewStream starts to fold a stream.
func NewStream(name string, l Log, a *Appender, now func() time.Time) *Stream {
	s := &Stream{
		name:     name,
		log:      l,
		appender: a,
		now:      now,
		ready:    make(chan struct{}),
		table:    tlclaim.NewTable(),
		answers:  newAnswers(),
		changed:  map[tlclaim.ID]*watch{},
		mine:     map[uint64]chan struct{}{},
	}
	s.reader = NewReader(name, s.table.Next(), l, ReaderHooks{Apply: s.apply, Gap: s.gap})
	return s
}

// Close stops reading and appending.
func (s *Stream) Close() {
	s.reader.Close()
	s.appender.Close()
}

// Done is closed when the stream is no longer read.
func (s *Stream) Done() <-chan struct{} {
	return s.reader.Done()
}

// Keys returns the number of keys that the stream knows.
func (s *Stream) Keys() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Len()
}

func (s *Stream) apply(v tlwire.ReadResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	skipped := s.table.Skipped()
	for _, r := range v.Records {
		c, ok := s.table.Apply(r)
		if !ok {
			continue
		}
		s.keepAnswer(r, c)
		s.wake(c)
	}
	s.log.Count(CountSkipped, int64(s.table.Skipped()-skipped))
	s.table.Drop(v.Oldest)
	s.keeper.take(v)
	if s.table.Next() < v.Next {
		return
	}
	if !s.isReady {
		s.isReady = true
		close(s.ready)
	}
	s.keepAlive()
}

func (s *Stream) gap(oldest uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Restart(oldest)
}

// keepAnswer needs the mutex.
func (s *Stream) keepAnswer(r tlwire.LogRecord, c tlclaim.Change) {
	if c.Entry.Outcome != r.Offset || c.Entry.State != tlclaim.Ran {
		return
	}
	if a, err := answerIn(r); err == nil {
		s.answers.put(r.Offset, a)
	}
}

// wake needs the mutex.
func (s *Stream) wake(c tlclaim.Change) {
	if w, ok := s.changed[c.ID]; ok {
		close(w.changed)
		delete(s.changed, c.ID)
	}
	if c.Kind != tlwire.RecordKindClaim {
		return
	}
	if w, ok := s.mine[c.Nonce]; ok {
		close(w)
		delete(s.mine, c.Nonce)
	}
}

// expect returns a channel that is closed when a claim with the nonce is folded.
func (s *Stream) expect(nonce uint64) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := make(chan struct{})
	s.mine[nonce] = w
	return w
}

func (s *Stream) forget(nonce uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.mine, nonce)
}

// answer returns the stored answer of an outcome.
func (s *Stream) answer(ctx context.Context, offset uint64) (tlwire.StoredAnswer, error) {
	s.mu.Lock()
	a, ok := s.answers.get(offset)
	s.mu.Unlock()
	if ok {
		return a, nil
	}
	v, err := s.log.Read(ctx, s.name, offset, 1, 0)
	if err != nil {
		return tlwire.StoredAnswer{}, err
	}
	if len(v.Records) == 0 || v.Records[0].Offset != offset {
		return tlwire.StoredAnswer{}, fmt.Errorf("offset %d can't be read", offset)
	}
	return answerIn(v.Records[0])
}

func answerIn(r tlwire.LogRecord) (tlwire.StoredAnswer, error) {
	e, err := tlrecord.Open(r.Data)
	if err != nil {
		return tlwire.StoredAnswer{}, err
	}
	o, err := tlrecord.Decode[tlwire.Outcome](e)
	if err != nil {
		return tlwire.StoredAnswer{}, err
	}
	if o.Answer == nil {
		return tlwire.StoredAnswer{}, errors.New("the outcome has no answer")
	}
	return *o.Answer, nil
}

// note appends the end of a claim; its sender tries again after an error.
func (s *Stream) note(ctx context.Context, n tlwire.ClaimNote) error {
	data, err := encodeNote(n)
	if err != nil {
		return err
	}
	if !s.appender.Allow() {
		return errOut
	}
	_, err = s.appender.Append(ctx, data)
	return err
}

func encodeNote(n tlwire.ClaimNote) ([]byte, error) {
	switch {
	case n.Outcome != nil:
		return tlrecord.Encode(*n.Outcome)
	case n.Release != nil:
		return tlrecord.Encode(*n.Release)
	}
	return nil, errors.New("the note is empty")
}
