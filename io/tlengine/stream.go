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

	"trefoillanding/core/tlwire"
)

const (
	// lineBytes is the size of a stream's buffer.
	lineBytes = 1 << 10
	// longestLine is the longest event that is read, in bytes.
	longestLine = 64 << 10
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
	attempt string
	next    int
	ended   bool
	closed  bool
	// complete says that the last token has come.
	complete bool
	// turns is odd while the reader waits for the engine.
	turns atomic.Uint64
	seen  uint64
	idle  int
}

// Decode starts a stream, which must be named after its attempt.
func (c *Client) Decode(x context.Context, a netip.AddrPort, r tlwire.DecodeRequest) (*Stream, error) {
	return c.open(x, a, "/engine/streams", r.Attempt, r.FirstIndex, r)
}

// Resume reads a stream, which is named after its attempt, on from a token; it
// cuts any earlier reader off.
func (c *Client) Resume(x context.Context, a netip.AddrPort, r tlwire.ResumeRequest) (*Stream, error) {
	return c.open(x, a, "/engine/resumes", r.Stream, r.FirstIndex, r)
}

func (c *Client) open(x context.Context, a netip.AddrPort, path, attempt string, first int, r any) (*Stream, error) {
	x, stop, detach := detachable(x)
	s := &Stream{client: c, context: x, stop: stop, detach: detach, attempt: attempt, next: first}
	s.turns.Store(1)
	c.watchdog.add(s)
	w, err := c.send(x, http.MethodPost, a, path, r)
	if err != nil {
		detach()
		s.release()
		return nil, err
	}
	s.turns.Store(2)
	s.body = w.Body
	s.reader = newLineReader(w.Body)
	return s, nil
}

func newLineReader(r io.Reader) *bufio.Reader {
	b := buffers.Get().(*bufio.Reader)
	b.Reset(r)
	return b
}

// Next waits for the next token. It drops and counts what belongs to another
// attempt or came before; a token left out is an error. An event whose Error is
// set, or whose Finish is, is the last one; after it comes io.EOF.
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
		if wanted {
			return s.token(v), nil
		}
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
		s.client.options.Count(CountCrossed, 1)
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
