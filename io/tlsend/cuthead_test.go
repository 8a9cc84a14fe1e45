package tlsend

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"trefoillanding/core/tlcall"
)

// Guards against a success made of an answer whose head was cut short, at any byte, by an
// endpoint or by an instance that passes it on.
func TestAnswerWhoseHeadIsCutIsNone(t *testing.T) {
	cases := []struct{ name, head string }{
		{"1 a length", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 10\r\n\r\n"},
		{"2 a length of 0", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 0\r\n\r\n"},
		{"3 chunks", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n"},
		{"4 neither", "HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\n\r\n"},
		{"5 no content", "HTTP/1.1 204 No Content\r\nId: 1\r\n\r\n"},
		{"6 after an interim head", "HTTP/1.1 103 Early Hints\r\nId: 1\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\n\r\n"},
		{"7 of HTTP/1.0", "HTTP/1.0 200 OK\r\nId: 1\r\n\r\n"},
		{"8 lines that end with a line feed", "HTTP/1.1 200 OK\nId: 1\n\n"},
	}
	for _, c := range cases {
		for _, isReset := range []bool{false, true} {
			t.Run(c.name, func(t *testing.T) {
				e := listen(t, func(n int, conn net.Conn, r *bufio.Reader) {
					if _, err := http.ReadRequest(r); err != nil {
						return
					}
					_, _ = io.WriteString(conn, c.head[:n/2])
					if isReset {
						assert.NoError(t, conn.(*net.TCPConn).SetLinger(0))
					}
				})
				s := newSender(t)
				f := NewForwarder(s.codec.DecodeAnswer)
				t.Cleanup(f.Close)
				// Two connections for each length of what is written: one from a sender, one from a forwarder.
				for n := range c.head {
					_, err := s.Send(context.Background(), e, newGetRequest("1"), tlcall.Send{})
					requireBroken(t, err, n)
					_, err = f.Send(context.Background(), "i", e.Address, "", newGetRequest("1"))
					requireBroken(t, err, n)
				}
			})
		}
	}
}

// requireBroken requires that no answer was returned, and no promise that nothing ran.
func requireBroken(t *testing.T, err error, n int) {
	t.Helper()
	var f *Error
	require.ErrorAs(t, err, &f, "after %d bytes", n)
	require.True(t, f.MayHaveRun, "after %d bytes", n)
}
