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
	// lineBufferBytes is the size of a stream's read buffer.
	lineBufferBytes = 1 << 10
	// lineLimitBytes is the longest event line that is accepted, in bytes.
	lineLimitBytes = 64 << 10
	// eventErrorTaken is the Error of an event when a later reader has resumed the stream.
	eventErrorTaken = "Taken"
	// eventErrorCancelled is the Error of an event when the stream was cancelled.
	eventErrorCancelled = "Cancelled"
)

var (
	errLineTooLong = errors.New("event line is too long")
	lineReaders    = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, lineBufferBytes) }}
)

// Stream reads the tokens of one attempt. It must be read and closed by one
// goroutine; the end of its context interrupts a blocked Next.
type Stream struct {
	client      *Client
	context     context.Context
	stop        context.CancelCauseFunc
	detach      func() bool
	body        io.ReadCloser
	reader      *bufio.Reader
	engine      netip.AddrPort
	owner       owner
	attempt     string
	nextIndex   int
	lastArrival time.Time
	ended       bool
	closed      bool
	// complete is set once the last token has been received.
	complete bool
	// readPhase is odd while the reader waits for the engine, and increases when a wait begins or ends.
	readPhase  atomic.Uint64
	seenPhase  uint64
	idleChecks int
}

// owner identifies a stream's reader to the engine.
type owner struct {
	name        string
	incarnation uint64
}

// Decode starts a stream, whose name must be that of its attempt.
func (c *Client) Decode(x context.Context, a netip.AddrPort, r tlwire.DecodeRequest) (*Stream, error) {
	s := &Stream{engine: a, owner: owner{r.Owner, r.Incarnation}, attempt: r.Attempt, nextIndex: r.FirstIndex}
	return s, c.open(x, s, "/engine/streams", r)
}

// Resume continues a stream, whose name is that of its attempt, from a token
// index; the engine ends any earlier reader of the stream.
func (c *Client) Resume(x context.Context, a netip.AddrPort, r tlwire.ResumeRequest) (*Stream, error) {
	s := &Stream{engine: a, owner: owner{r.Owner, r.Incarnation}, attempt: r.Stream, nextIndex: r.FirstIndex}
	return s, c.open(x, s, "/engine/resumes", r)
}

func (c *Client) open(x context.Context, s *Stream, path string, r any) error {
	s.client = c
	s.context, s.stop, s.detach = detachableContext(x)
	s.readPhase.Store(1)
	c.watchdog.add(s)
	w, err := c.send(s.context, http.MethodPost, s.engine, path, r)
	if err != nil {
		s.detach()
		s.release()
		return err
	}
	s.readPhase.Store(2)
	s.body = w.Body
	s.reader = newLineReader(w.Body)
	s.lastArrival = time.Now()
	return nil
}

func newLineReader(r io.Reader) *bufio.Reader {
	b := lineReaders.Get().(*bufio.Reader)
	b.Reset(r)
	return b
}

// Next waits for the next token. It drops and counts events of another attempt
// and repeated tokens; a skipped token is an error. An event with Error or
// Finish set is the last one and is followed by io.EOF. After no token for
// Options.CheckOwnershipAfter, it asks the engine whether this reader still owns
// the stream before it returns a token; if not, the event's Error is Taken or Cancelled.
func (s *Stream) Next() (tlwire.TokenEvent, error) {
	for !s.ended {
		line, err := s.line()
		if err != nil {
			return tlwire.TokenEvent{}, s.readFailed(err)
		}
		v, err := readEvent(line)
		if err != nil {
			return tlwire.TokenEvent{}, s.end(s.client.newError(Malformed, err))
		}
		wanted, err := s.accept(v)
		if err != nil {
			return tlwire.TokenEvent{}, err
		}
		if !wanted {
			continue
		}
		lost, err := s.checkOwnership()
		if err != nil {
			return tlwire.TokenEvent{}, s.end(err)
		}
		if lost != "" {
			return s.ownershipLost(v.index, lost), nil
		}
		return s.deliver(v), nil
	}
	return tlwire.TokenEvent{}, io.EOF
}

// Buffered reports whether a whole line is buffered, so that Next need not wait for the engine.
func (s *Stream) Buffered() bool {
	if s.ended {
		return false
	}
	b, _ := s.reader.Peek(s.reader.Buffered())
	return bytes.IndexByte(b, '\n') >= 0
}

// Close stops reading; the engine continues the stream until it is cancelled.
func (s *Stream) Close() {
	if s.closed {
		return
	}
	s.closed, s.ended = true, true
	s.reader.Reset(nil)
	lineReaders.Put(s.reader)
	s.detach()
	if s.complete {
		s.client.watchdog.remove(s)
		s.client.drainBody(s.body, func() { s.stop(nil) })
		return
	}
	s.release()
	_ = s.body.Close()
}

// release removes the stream from the watchdog and cancels its call.
func (s *Stream) release() {
	s.client.watchdog.remove(s)
	s.stop(nil)
}

// accept reports whether an event is the next one to return; false means that it is dropped.
func (s *Stream) accept(v event) (bool, error) {
	if string(v.attempt) != s.attempt {
		s.client.options.Count(CountWrongAttempt, 1)
		return false, nil
	}
	if len(v.failure) > 0 {
		return true, nil
	}
	if v.index < s.nextIndex {
		s.client.options.Count(CountRepeated, 1)
		return false, nil
	}
	if v.index > s.nextIndex {
		return false, s.end(s.client.newError(Gap, fmt.Errorf("got token %d, expected %d", v.index, s.nextIndex)))
	}
	return true, nil
}

func (s *Stream) deliver(v event) tlwire.TokenEvent {
	s.nextIndex++
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

// checkOwnership asks the engine whether this reader still owns the stream when no
// token came for Options.CheckOwnershipAfter, as the process may have been paused
// meanwhile. It returns the event error if the stream was taken over or cancelled.
func (s *Stream) checkOwnership() (string, error) {
	now := time.Now()
	gap := now.Sub(s.lastArrival)
	s.lastArrival = now
	if s.client.options.CheckOwnershipAfter <= 0 || gap < s.client.options.CheckOwnershipAfter {
		return "", nil
	}
	s.client.options.Count(CountOwnershipChecked, 1)
	l, err := s.client.List(s.context, s.engine)
	s.lastArrival = time.Now()
	if err != nil {
		return "", err
	}
	for _, i := range l.Streams {
		if i.Stream != s.attempt {
			continue
		}
		if s.owner != (owner{i.Owner, i.Incarnation}) {
			return eventErrorTaken, nil
		}
		return "", nil
	}
	return eventErrorCancelled, nil
}

// ownershipLost ends a stream that this reader no longer owns.
func (s *Stream) ownershipLost(index int, how string) tlwire.TokenEvent {
	s.client.options.Count(CountOwnershipLost, 1)
	s.ended = true
	return tlwire.TokenEvent{Attempt: s.attempt, Index: index, Error: how}
}

// line returns the next line, which is valid until the next call.
func (s *Stream) line() ([]byte, error) {
	s.readPhase.Add(1)
	defer s.readPhase.Add(1)
	b, err := s.reader.ReadSlice('\n')
	if !errors.Is(err, bufio.ErrBufferFull) {
		return b, err
	}
	long := bytes.Clone(b)
	for errors.Is(err, bufio.ErrBufferFull) && len(long) < lineLimitBytes {
		b, err = s.reader.ReadSlice('\n')
		long = append(long, b...)
	}
	if errors.Is(err, bufio.ErrBufferFull) {
		return nil, errLineTooLong
	}
	return long, err
}

func (s *Stream) readFailed(err error) error {
	if errors.Is(err, errLineTooLong) {
		return s.end(s.client.newError(Malformed, err))
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
