package tlstandin

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

const (
	// UploadBytes is the size of a body that the socket buffers of both sides don't take.
	UploadBytes = 6 << 20
	// earlyReceiveBytes is the size of the receive buffers of an Early.
	earlyReceiveBytes = 64 << 10
	// resetAfter is the time from an answer to the reset of its connection; the answer has been
	// read by then, and the socket buffers are full.
	resetAfter = 20 * time.Millisecond
)

// Early is a server that answers a request once it has read its head, while the body is still
// being written.
type Early struct {
	listener net.Listener
	running  sync.WaitGroup
}

// NewEarly starts a server that calls answer for each request and then closes the connection;
// the request's body has not been read.
func NewEarly(answer func(c *net.TCPConn, q *http.Request)) (*Early, error) {
	l, err := net.Listen("tcp", AnyPort.String())
	if err != nil {
		return nil, err
	}
	e := &Early{listener: l}
	e.running.Go(func() { e.accept(answer) })
	return e, nil
}

// Address returns the server's address.
func (e *Early) Address() netip.AddrPort {
	return e.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Close stops the server once its answers have been written.
func (e *Early) Close() {
	_ = e.listener.Close()
	e.running.Wait()
}

func (e *Early) accept(answer func(*net.TCPConn, *http.Request)) {
	for {
		c, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.running.Go(func() {
			defer c.Close()
			serveEarly(c.(*net.TCPConn), answer)
		})
	}
}

func serveEarly(c *net.TCPConn, answer func(*net.TCPConn, *http.Request)) {
	if err := c.SetReadBuffer(earlyReceiveBytes); err != nil {
		return
	}
	q, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	answer(c, q)
}

// BrokenAnswer is an answer that must not count as one, though its body looks whole.
type BrokenAnswer struct {
	// Name says what is wrong with the answer.
	Name string
	// write writes the answer, with a body.
	write func(c *net.TCPConn, q *http.Request, body string)
}

// BrokenAnswers lists the ways in which answers are broken.
var BrokenAnswers = []BrokenAnswer{
	{"reset within the upload", writeAndReset},
	{"status 000", writeWith("HTTP/1.1 000 Odd\r\n")},
	{"status 600", writeWith("HTTP/1.1 600 Odd\r\n")},
	{"HTTP/2.0", writeWith("HTTP/2.0 200 OK\r\n")},
	{"a blank in a name", writeWith("HTTP/1.1 200 OK\r\nX Odd: 1\r\n")},
	{"a length with a blank before its colon", writeWith("HTTP/1.1 200 OK\r\nContent-Length : 4\r\n")},
	{"a bell in a name", writeWith("HTTP/1.1 200 OK\r\nX\aOdd: 1\r\n")},
	{"a blank in a name of an interim answer", writeWith("HTTP/1.1 103 Early Hints\r\nX Odd: 1\r\n\r\nHTTP/1.1 200 OK\r\n")},
}

// NewBroken starts a server whose answers are broken in a way and have a body.
func NewBroken(b BrokenAnswer, body string) (*Early, error) {
	return NewEarly(func(c *net.TCPConn, q *http.Request) { b.write(c, q, body) })
}

func writeAndReset(c *net.TCPConn, _ *http.Request, body string) {
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"+body)
	time.Sleep(resetAfter)
	_ = c.SetLinger(0)
}

// writeWith returns what writes an answer with a head once the request has been read.
func writeWith(head string) func(*net.TCPConn, *http.Request, string) {
	return func(c *net.TCPConn, q *http.Request, body string) {
		_, _ = io.Copy(io.Discard, q.Body)
		_, _ = io.WriteString(c, head+"\r\n"+body)
	}
}
