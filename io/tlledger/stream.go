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

var errLogOut = errors.New("the log is out")

// Stream applies the records of one claim stream to a table and appends to the stream.
type Stream struct {
	name     string
	log      Log
	appender *Appender
	reader   *Reader
	now      func() time.Time
	ready    chan struct{}

	mu           sync.Mutex
	table        *tlclaim.Table
	answers      *answerCache
	watches      map[tlclaim.ID]*keyWatch
	ownClaims    map[uint64]chan struct{}
	isReady      bool
	schedule     refreshSchedule
	isRefreshing bool
}

// NewStream starts reading a stream.
func NewStream(name string, l Log, a *Appender, now func() time.Time) *Stream {
	s := &Stream{
		name:      name,
		log:       l,
		appender:  a,
		now:       now,
		ready:     make(chan struct{}),
		table:     tlclaim.NewTable(),
		answers:   newAnswerCache(),
		watches:   map[tlclaim.ID]*keyWatch{},
		ownClaims: map[uint64]chan struct{}{},
	}
	s.reader = NewReader(name, s.table.Next(), l, ReaderHooks{Apply: s.apply, Gap: s.gap})
	return s
}

// Close stops reading and appending.
func (s *Stream) Close() {
	s.reader.Close()
	s.appender.Close()
}

// Done is closed when the stream's reader has stopped.
func (s *Stream) Done() <-chan struct{} {
	return s.reader.Done()
}

// Keys returns the number of known keys.
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
		s.cacheAnswer(r, c)
		s.notify(c)
	}
	s.log.Count(CountSkipped, int64(s.table.Skipped()-skipped))
	s.table.Drop(v.Oldest)
	s.schedule.observe(v)
	if s.table.Next() < v.Next {
		return
	}
	if !s.isReady {
		s.isReady = true
		close(s.ready)
	}
	s.refreshIfDue()
}

func (s *Stream) gap(oldest uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Restart(oldest)
}

// cacheAnswer caches the answer of an outcome record; the caller holds s.mu.
func (s *Stream) cacheAnswer(r tlwire.LogRecord, c tlclaim.Change) {
	if c.Entry.Outcome != r.Offset || c.Entry.State != tlclaim.Answered {
		return
	}
	if a, err := decodeAnswer(r); err == nil {
		s.answers.put(r.Offset, a)
	}
}

// notify wakes the claims that wait for the key, and the one that waits for its own
// record; the caller holds s.mu.
func (s *Stream) notify(c tlclaim.Change) {
	if w, ok := s.watches[c.ID]; ok {
		close(w.changed)
		delete(s.watches, c.ID)
	}
	if c.Kind != tlwire.RecordKindClaim {
		return
	}
	if w, ok := s.ownClaims[c.Nonce]; ok {
		close(w)
		delete(s.ownClaims, c.Nonce)
	}
}

// awaitClaim returns a channel that is closed when the claim with the nonce is applied.
func (s *Stream) awaitClaim(nonce uint64) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := make(chan struct{})
	s.ownClaims[nonce] = w
	return w
}

func (s *Stream) cancelAwait(nonce uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.ownClaims, nonce)
}

// storedAnswer returns the answer of the outcome at an offset, from the cache or the log.
func (s *Stream) storedAnswer(ctx context.Context, offset uint64) (tlwire.StoredAnswer, error) {
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
	return decodeAnswer(v.Records[0])
}

func decodeAnswer(r tlwire.LogRecord) (tlwire.StoredAnswer, error) {
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

// appendNote appends an outcome or a release; its sender retries after an error.
func (s *Stream) appendNote(ctx context.Context, n tlwire.ClaimNote) error {
	data, err := encodeNote(n)
	if err != nil {
		return err
	}
	if !s.appender.Allow() {
		return errLogOut
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
