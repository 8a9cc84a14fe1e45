package tlengine

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"trefoillanding/core/tlwire"
)

const (
	// lineBytes is the size of a stream's buffer.
	lineBytes = 1 << 10
	// longestLine is the longest event that is read, in bytes.
	longestLine = 64 << 10
	// takenError is the engines' word for a stream that a later reader resumed.
	takenError = "Taken"
	// cancelledError is their word for one that was cancelled.
	cancelledError = "Cancelled"
)

var (
	errLongLine = errors.New("a line is too long")
	buffers     = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, lineBytes) }}
)

// Stream reads the tokens of one attempt; one goroutine reads and closes it,
// and the end of its context ends a Next that waits.
type Stream struct {
	client  *Client
	context context.Context
	stop    context.CancelCauseFunc
	detach  func() bool
	body    io.ReadCloser
	reader  *bufio.Reader
	engine  netip.AddrPort
	owner   owner
	attempt string
	next    int
	last    time.Time
	ended   bool
	closed  bool
	// complete says that the last token has come.
	complete bool
	// turns is odd while the reader waits for the engine.
	turns atomic.Uint64
	seen  uint64
	idle  int
}

// owner is who reads a stream, as the engine knows it.
type owner struct {
	name        string
	incarnation uint64
}

// Decode starts a stream, which must be named after its attempt.
func (c *Client) Decode(x context.Context, a netip.AddrPort, r tlwire.DecodeRequest) (*Stream, error) {
	s := &Stream{engine: a, owner: owner{r.Owner, r.Incarnation}, attempt: r.Attempt, next: r.FirstIndex}
	return s, c.open(x, s, "/engine/streams", r)
}

// Resume reads a stream, which is named after its attempt, on from a token; it
// cuts any earlier reader off.
func (c *Client) Resume(x context.Context, a netip.AddrPort, r tlwire.ResumeRequest) (*Stream, error) {
	s := &Stream{engine: a, owner: owner{r.Owner, r.Incarnation}, attempt: r.Stream, next: r.FirstIndex}
	return s, c.open(x, s, "/engine/resumes", r)
}

func (c *Client) open(x context.Context, s *Stream, path string, r any) error {
	s.client = c
	s.context, s.stop, s.detach = detachable(x)
	s.turns.Store(1)
	c.watchdog.add(s)
	w, err := c.send(s.context, http.MethodPost, s.engine, path, r)
	if err != nil {
		s.detach()
		s.release()
		return err
	}
	s.turns.Store(2)
	s.body = w.Body
	s.reader = newLineReader(w.Body)
	s.last = time.Now()
	return nil
}

func newLineReader(r io.Reader) *bufio.Reader {
	b := buffers.Get().(*bufio.Reader)
	b.Reset(r)
	return b
}

// Next waits for the next token. It drops and counts what belongs to another
// attempt or came before; a token left out is an error. An event whose Error is
// set, or whose Finish is, is the last one; after it comes io.EOF. After a long
// gap it asks the engine whether the stream is still ours before it hands a
// token out; when it is not, the event's Error is Taken or Cancelled.
func (s *Stream) Next() (tlwire.TokenEvent, error) {
	for !s.ended {
		line, err := s.line()
		if err != nil {
			return tlwire.TokenEvent{}, s.fail(err)
		}
		v, err := readEvent(line)
		if err != nil {
			return tlwire.TokenEvent{}, s.end(s.client.fail(Malformed, err))
		}
		wanted, err := s.accept(v)
		if err != nil {
			return tlwire.TokenEvent{}, err
		}
		if !wanted {
			continue
		}
		lost, err := s.verify()
		if err != nil {
			return tlwire.TokenEvent{}, s.end(err)
		}
		if lost != "" {
			return s.lost(v.index, lost), nil
		}
		return s.token(v), nil
	}
	return tlwire.TokenEvent{}, io.EOF
}

// Buffered says whether Next has a line at hand.
func (s *Stream) Buffered() bool {
	if s.ended {
		return false
	}
	b, _ := s.reader.Peek(s.reader.Buffered())
	return bytes.IndexByte(b, '\n') >= 0
}

// Close ends the reading; the stream itself goes on until it is cancelled.
func (s *Stream) Close() {
	if s.closed {
		return
	}
	s.closed, s.ended = true, true
	s.reader.Reset(nil)
	buffers.Put(s.reader)
	s.detach()
	if s.complete {
		s.client.watchdog.remove(s)
		s.client.finish(s.body, func() { s.stop(nil) })
		return
	}
	s.release()
	_ = s.body.Close()
}

// release forgets the stream and ends its call.
func (s *Stream) release() {
	s.client.watchdog.remove(s)
	s.stop(nil)
}

// accept says whether an event is the one that comes next.
func (s *Stream) accept(v event) (bool, error) {
	if string(v.attempt) != s.attempt {
		s.client.options.Count(CountWrongAttempt, 1)
		return false, nil
	}
	if len(v.failure) > 0 {
		return true, nil
	}
	if v.index < s.next {
		s.client.options.Count(CountRepeated, 1)
		return false, nil
	}
	if v.index > s.next {
		return false, s.end(s.client.fail(Gap, fmt.Errorf("token %d came instead of %d", v.index, s.next)))
	}
	return true, nil
}

func (s *Stream) token(v event) tlwire.TokenEvent {
	s.next++
	s.complete = len(v.finish) > 0
	s.ended = s.complete || len(v.failure) > 0
	return tlwire.TokenEvent{
		Attempt: s.attempt,
		Index:   v.index,
		Text:    string(v.text),
		Finish:  string(v.finish),
		Error:   string(v.failure),
	}
}

// verify asks after a long gap, in which the process may have been paused,
// whether the stream is still ours; it returns how it was lost, if it was.
func (s *Stream) verify() (string, error) {
	now := time.Now()
	gap := now.Sub(s.last)
	s.last = now
	if s.client.options.CheckOwnershipAfter <= 0 || gap < s.client.options.CheckOwnershipAfter {
		return "", nil
	}
	s.client.options.Count(CountOwnershipChecked, 1)
	l, err := s.client.List(s.context, s.engine)
	s.last = time.Now()
	if err != nil {
		return "", err
	}
	for _, i := range l.Streams {
		if i.Stream != s.attempt {
			continue
		}
		if s.owner != (owner{i.Owner, i.Incarnation}) {
			return takenError, nil
		}
		return "", nil
	}
	return cancelledError, nil
}

// lost ends a stream that is not ours any more.
func (s *Stream) lost(index int, how string) tlwire.TokenEvent {
	s.client.options.Count(CountOwnershipLost, 1)
	s.ended = true
	return tlwire.TokenEvent{Attempt: s.attempt, Index: index, Error: how}
}

// line returns the next line, which is good until the next call.
func (s *Stream) line() ([]byte, error) {
	s.turns.Add(1)
	defer s.turns.Add(1)
	b, err := s.reader.ReadSlice('\n')
	if !errors.Is(err, bufio.ErrBufferFull) {
		return b, err
	}
	long := bytes.Clone(b)
	for errors.Is(err, bufio.ErrBufferFull) && len(long) < longestLine {
		b, err = s.reader.ReadSlice('\n')
		long = append(long, b...)
	}
	if errors.Is(err, bufio.ErrBufferFull) {
		return nil, errLongLine
	}
	return long, err
}

func (s *Stream) fail(err error) error {
	if errors.Is(err, errLongLine) {
		return s.end(s.client.fail(Malformed, err))
	}
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return s.end(s.client.readError(s.context, err))
}

func (s *Stream) end(err error) error {
	s.ended = true
	return err
}
