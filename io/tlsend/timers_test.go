package tlsend

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// soundSilence is how long a sound endpoint may acknowledge nothing.
const soundSilence = 2 * time.Second

func TestConnectionOutlastsASoundEndpointsSilence(t *testing.T) {
	e := listen(t, func(_ int, _ net.Conn, r *bufio.Reader) { _, _ = http.ReadRequest(r) })
	s := newSender(t)
	c, err := s.dial(context.Background(), "tcp", e.Address.String())
	require.NoError(t, err)
	defer c.Close()
	raw, err := c.(*connection).Conn.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	option := func(level, name int) time.Duration {
		var n int
		require.NoError(t, raw.Control(func(fd uintptr) { n, err = unix.GetsockoptInt(int(fd), level, name) }))
		require.NoError(t, err)
		return time.Duration(n)
	}
	unacked := option(syscall.IPPROTO_TCP, unix.TCP_USER_TIMEOUT) * time.Millisecond
	idle := option(syscall.IPPROTO_TCP, unix.TCP_KEEPIDLE) * time.Second
	interval := option(syscall.IPPROTO_TCP, unix.TCP_KEEPINTVL) * time.Second
	assert.Greater(t, unacked, soundSilence, "sent bytes that are not acknowledged")
	// The kernel gives an idle connection up at the first probe after unacked.
	probe := idle + interval
	for probe < unacked {
		probe += interval
	}
	assert.Greater(t, probe, soundSilence, "an answer that is awaited")
	assert.LessOrEqual(t, probe, 2*soundSilence, "a peer that is gone is still noticed")
}
