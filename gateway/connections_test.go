package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"trefoillanding/platform/tlstand"
)

// Guards against a payment that runs though its connection was chosen to be closed for
// another one before its body was whole, so that its answer has nowhere to go.
func TestRequestOfAConnectionThatIsClosedForRoomIsNotSent(t *testing.T) {
	w := newTestCluster(t)
	e := w.startPlainEndpoint("e")
	i := w.startInstance("a")
	w.eventually(func() bool { return len(i.directory.Endpoints(tlstand.PlainService)) == 1 })
	c := onceCall("id-1")
	c.Host = tlstand.Host
	q, err := c.Request(i.settings.Listen)
	require.NoError(t, err)
	k, err := net.Dial("tcp", i.settings.Listen.String())
	require.NoError(t, err)
	defer k.Close()
	q.Body, q.ContentLength = http.NoBody, 0
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nContent-Length: 4\r\n", q.URL.RequestURI(), c.Host)
	for name := range q.Header {
		head += name + ": " + q.Header.Get(name) + "\r\n"
	}
	_, err = io.WriteString(k, head+"\r\npa")
	require.NoError(t, err)
	p := i.pools.callers
	w.eventually(func() bool { return p.status().Receiving == 1 })
	p.mu.Lock()
	for id := range p.open {
		// What admit does before it closes the connection.
		p.rules.Close(id)
		delete(p.open, id)
	}
	p.mu.Unlock()
	_, err = io.WriteString(k, "id")
	require.NoError(t, err)
	require.NoError(t, k.SetReadDeadline(time.Now().Add(testTimeout)))
	if a, err := http.ReadResponse(bufio.NewReader(k), nil); err == nil {
		defer a.Body.Close()
		assert.Equal(t, http.StatusServiceUnavailable, a.StatusCode)
		assert.Equal(t, "NotRun", a.Header.Get("Trefoil-Verdict"))
	}
	assert.Zero(t, runs("id-1", e))
}
