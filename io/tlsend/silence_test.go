package tlsend

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"trefoillanding/core/tlcall"
	"trefoillanding/core/tlendpoint"
)

// control runs f with the descriptor of a connection.
func control(c net.Conn, f func(fd int) error) error {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	if err := raw.Control(func(fd uintptr) { failed = f(int(fd)) }); err != nil {
		return err
	}
	return failed
}

// turnDeaf makes the kernel drop what arrives on a connection before its TCP sees it, so that nothing is acknowledged.
func turnDeaf(t *testing.T, c net.Conn) {
	drop := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K}}
	assert.NoError(t, control(c, func(fd int) error {
		return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &drop[0]})
	}))
}

// listenAgain ends what turnDeaf began.
func listenAgain(t *testing.T, c net.Conn) {
	assert.NoError(t, control(c, func(fd int) error {
		return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0)
	}))
}

// silence is what a peer does once it has read a request; deaf is the part in which it acknowledges nothing.
type silence struct {
	before, deaf, after time.Duration
}

// sendInto sends a request to a peer that answers after a silence.
func sendInto(t *testing.T, s silence) error {
	t.Helper()
	e := listen(t, func(_ int, c net.Conn, r *bufio.Reader) {
		_, _ = http.ReadRequest(r)
		time.Sleep(s.before)
		if s.deaf > 0 {
			turnDeaf(t, c)
			time.Sleep(s.deaf)
			listenAgain(t, c)
		}
		time.Sleep(s.after)
		writeAnswer(c, "1", "ok")
	})
	return sendAndRead(t, newSender(t), e, newGetRequest("1"))
}

// Guards against a connection that is ended while its peer is silent and will go on.
func TestSilenceOfAPeerEndsNoConnection(t *testing.T) {
	cases := []struct {
		name string
		silence
	}{
		{"1 says nothing", silence{before: 3 * time.Second}},
		{"2 acknowledges nothing", silence{deaf: 1200 * time.Millisecond}},
		{"3 acknowledges nothing later on", silence{before: 1200 * time.Millisecond, deaf: 1200 * time.Millisecond}},
		{"4 acknowledges nothing, then says nothing", silence{deaf: 600 * time.Millisecond, after: 2 * time.Second}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			require.NoError(t, sendInto(t, c.silence))
		})
	}
}

// sendToDeafPeer sends a request on a kept connection whose peer acknowledges nothing for d.
func sendToDeafPeer(t *testing.T, d time.Duration) error {
	t.Helper()
	deaf := make(chan struct{})
	e := listen(t, func(n int, c net.Conn, r *bufio.Reader) {
		_, _ = http.ReadRequest(r)
		assert.Zero(t, n, "the connection is kept")
		writeAnswer(c, "1", "ok")
		time.Sleep(50 * time.Millisecond)
		turnDeaf(t, c)
		close(deaf)
		time.Sleep(d)
		listenAgain(t, c)
		if _, err := http.ReadRequest(r); err == nil {
			writeAnswer(c, "2", "ok")
		}
	})
	s := newSender(t)
	require.NoError(t, sendAndRead(t, s, e, newGetRequest("1")))
	<-deaf
	return sendAndRead(t, s, e, newGetRequest("2"))
}

// Guards against a request that is lost because its first bytes meet a silent network.
func TestRequestSentIntoASilenceArrives(t *testing.T) {
	require.NoError(t, sendToDeafPeer(t, 1200*time.Millisecond))
}

// sendToLateReader sends a body that is larger than the buffers to a peer that reads it after d.
func sendToLateReader(t *testing.T, d time.Duration) error {
	t.Helper()
	e := listen(t, func(_ int, c net.Conn, r *bufio.Reader) {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		time.Sleep(d)
		if _, err := io.Copy(io.Discard, q.Body); err == nil {
			writeAnswer(c, "1", "ok")
		}
	})
	q := newGetRequest("1")
	q.Method, q.Body = http.MethodPost, make([]byte, 8<<20)
	return sendAndRead(t, newSender(t), e, q)
}

// Guards against a large request that is lost because its peer reads it a little later.
func TestBodyReadLaterArrives(t *testing.T) {
	require.NoError(t, sendToLateReader(t, 1200*time.Millisecond))
}

// sendAndRead sends a request and reads its whole answer.
func sendAndRead(t *testing.T, s *Sender, e tlendpoint.Endpoint, q Request) error {
	t.Helper()
	ctx, stop := context.WithTimeout(context.Background(), 8*time.Second)
	t.Cleanup(stop)
	r, err := s.Send(ctx, e, q, tlcall.Send{})
	if err != nil {
		return err
	}
	assert.Equal(t, "ok", readBody(t, r))
	return nil
}

// Guards against a connection that is ended since one keep-alive probe was lost.
func TestLostProbeEndsNoConnection(t *testing.T) {
	const ms = time.Millisecond
	cases := []struct {
		name string
		silence
	}{
		{"1 the first probe", silence{before: 900 * ms, deaf: 200 * ms, after: 1500 * ms}},
		{"2 a second in which nothing is acknowledged", silence{before: 400 * ms, deaf: 1000 * ms, after: 1200 * ms}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			require.NoError(t, sendInto(t, c.silence))
		})
	}
}

// Guards against a request that is lost because its first bytes meet a network that is silent for nearly two seconds.
func TestRequestSentIntoALongerSilenceArrives(t *testing.T) {
	require.NoError(t, sendToDeafPeer(t, 1900*time.Millisecond))
}

// Guards against a large request that is lost because its peer, which acknowledges all, reads it late.
func TestBodyReadLateArrives(t *testing.T) {
	require.NoError(t, sendToLateReader(t, 3*time.Second))
}
