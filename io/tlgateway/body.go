package tlgateway

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"trefoillanding/core/tlmemory"
	"trefoillanding/core/tlverdict"
	"trefoillanding/io/tlsend"
)

const (
	// minMemoryRetry and memoryRetrySpread are the least time and the spread of the
	// Retry-After of a request for which there is no memory: most of what is held is freed
	// within the objective of a request, and callers must not come back together.
	minMemoryRetry    = 250 * time.Millisecond
	memoryRetrySpread = 500 * time.Millisecond
	// discardPause and discardTimeout bound the time in which a refused body is still read:
	// closing a connection with bytes unread would reset it ahead of the refusal.
	discardPause   = 500 * time.Millisecond
	discardTimeout = 3 * time.Second
)

// readBody reads the whole body, so that it can be sent to more than one endpoint.
func (x *exchange) readBody(limit int64) *tlverdict.Error {
	x.request = tlsend.Request{
		ID:     x.call.ID,
		Method: x.r.Method,
		Target: x.target(),
		Host:   x.r.Host,
		Header: x.g.deps.Wire.CleanRequest(x.r.Header),
	}
	x.g.deps.Wire.EncodeOrganisation(x.request.Header, x.organisationName())
	if x.r.ContentLength == 0 {
		return nil
	}
	b, err := x.receive(limit)
	if err == nil {
		x.request.Body = b
		// The server's background read, which detects that the caller disconnects, needs no deadline.
		_ = http.NewResponseController(x.w).SetReadDeadline(time.Time{})
		return nil
	}
	x.holding.add(tlmemory.Body, -x.charged)
	x.leaveUnread(limit)
	return err
}

// leaveUnread notes that the request is refused before its body has been read, of up to limit bytes.
func (x *exchange) leaveUnread(limit int64) {
	if x.r.ContentLength != 0 {
		x.unread = max(limit, 1)
	}
}

// receive reads a body of up to limit bytes; 0 is none. It takes memory as the bytes
// arrive, but is refused before them if there is no room for the length announced.
func (x *exchange) receive(limit int64) ([]byte, *tlverdict.Error) {
	length := x.r.ContentLength
	if limit > 0 && length > limit {
		return nil, tooLarge(limit)
	}
	if length > 0 && !x.chargeBody(tlmemory.Charge(length)) {
		return nil, x.noMemory()
	}
	c := http.NewResponseController(x.w)
	until := x.g.deps.Memory.reception(time.Now())
	var b []byte
	for {
		if len(b) == cap(b) {
			if int64(len(b)) == length {
				return b, nil
			}
			var ok bool
			if b, ok = x.enlarge(b, length, limit); !ok {
				return nil, x.noMemory()
			}
		}
		_ = c.SetReadDeadline(until.Deadline(int64(len(b))))
		n, err := x.r.Body.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		switch {
		case limit > 0 && int64(len(b)) > limit:
			return nil, tooLarge(limit)
		case errors.Is(err, io.EOF) && (length < 0 || int64(len(b)) == length):
			return b, nil
		case errors.Is(err, os.ErrDeadlineExceeded):
			return nil, tlverdict.New(tlverdict.BodyTooSlow, "only %d bytes of the body came in time", len(b))
		case err != nil:
			return nil, tlverdict.New(tlverdict.BadBody, "the body ended early: %v", err)
		}
	}
}

// enlarge returns a larger buffer with the same bytes. A body of a known length is charged before.
func (x *exchange) enlarge(b []byte, length, limit int64) ([]byte, bool) {
	size := tlmemory.NextSize(int64(cap(b)), length)
	if length < 0 && limit > 0 {
		// One byte more tells a body over the limit from one that reaches it.
		size = min(size, limit+1)
	}
	if length < 0 && !x.chargeBody(size) {
		return nil, false
	}
	larger := make([]byte, len(b), size)
	copy(larger, b)
	if length < 0 {
		x.chargeBody(-int64(cap(b)))
	}
	return larger, true
}

// chargeBody holds n bytes more for the body, or less; it reports whether there is room.
func (x *exchange) chargeBody(n int64) bool {
	if !x.holding.add(tlmemory.Body, n) {
		return false
	}
	x.charged += n
	return true
}

func tooLarge(limit int64) *tlverdict.Error {
	return tlverdict.New(tlverdict.BodyTooLarge, "the body is larger than %d bytes", limit)
}

func (x *exchange) noMemory() *tlverdict.Error {
	d := minMemoryRetry + time.Duration(x.g.deps.Random()*float64(memoryRetrySpread))
	return tlverdict.New(tlverdict.MemoryFull, "there is no memory for the body now").WithRetryAfter(d)
}

// endAfterAnswer has the connection closed after an answer that goes out before the body has come.
func (x *exchange) endAfterAnswer() {
	x.w.Header().Set("Connection", "close")
	c := http.NewResponseController(x.w)
	// Without it the server would read on before it sends the answer.
	_ = c.EnableFullDuplex()
	// The server reads on at the end of the request, also in a body that never comes.
	_ = c.SetReadDeadline(time.Now().Add(discardPause))
}

// discardBody reads on in a refused body for as long as it makes progress, up to the limit of bodies.
func (x *exchange) discardBody() {
	if x.unread == 0 {
		return
	}
	c := http.NewResponseController(x.w)
	if c.Flush() != nil || x.r.Header.Get("Expect") != "" {
		return
	}
	b := make([]byte, firstAnswerBytes)
	ends := time.Now().Add(discardTimeout)
	for x.unread > 0 && time.Now().Before(ends) {
		if c.SetReadDeadline(time.Now().Add(discardPause)) != nil {
			return
		}
		n, err := x.r.Body.Read(b)
		if err != nil {
			return
		}
		x.unread -= int64(n)
	}
}
