package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"trefoillanding/platform"
	"trefoillanding/platform/tlform"
	"trefoillanding/platform/tlstand"
)

// answerWriter writes the answer to a request on its connection; it reports whether the
// connection is kept.
type answerWriter func(e *engine, c *net.TCPConn, q *http.Request) bool

// engine is a stand-in of a replica. It speaks HTTP by itself, so that it can write answers
// with neither a length nor chunks.
type engine struct {
	id, service, phase, version string
	born                        int64
	store                       *tlstand.Store
	answer                      answerWriter

	listener *net.TCPListener
	mu       sync.Mutex
	open     map[net.Conn]struct{}
	isDown   bool
	handles  int
	sequence int64
	stop     chan struct{}
}

// startEngine starts a replica at an address, or a free one, and registers it.
func startEngine(store *tlstand.Store, id, service, phase, version string, at *net.TCPAddr, answer answerWriter) (*engine, error) {
	if at == nil {
		a, err := freeAddresses(1)
		if err != nil {
			return nil, err
		}
		at = net.TCPAddrFromAddrPort(a[0])
	}
	l, err := net.ListenTCP("tcp", at)
	if err != nil {
		return nil, err
	}
	e := &engine{
		id: id, service: service, phase: phase, version: version, born: time.Now().UnixMilli(), store: store,
		answer: answer, listener: l, open: map[net.Conn]struct{}{}, stop: make(chan struct{}),
	}
	e.register()
	go e.accept()
	go e.beat()
	return e, nil
}

func (e *engine) address() netip.AddrPort {
	return netip.MustParseAddrPort(e.listener.Addr().String())
}

func (e *engine) register() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.isDown {
		return
	}
	e.sequence++
	e.store.PutJSON(platform.TopicEndpoints, e.id, tlform.Entry{
		Service: e.service, Address: e.address().String(), Zone: "izmir", Version: e.version, Slots: 64,
		State: "ready", Phase: e.phase, Born: e.born, Sequence: e.sequence,
	})
}

// beat writes the entry again every 1.2 s.
func (e *engine) beat() {
	t := time.NewTicker(1200 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-e.stop:
			return
		case <-t.C:
			e.register()
		}
	}
}

// crash ends the replica as the end of its process does: all its sockets are closed.
func (e *engine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.isDown {
		return
	}
	e.isDown = true
	close(e.stop)
	_ = e.listener.Close()
	for c := range e.open {
		_ = c.Close()
	}
}

func (e *engine) accept() {
	for {
		c, err := e.listener.AcceptTCP()
		if err != nil {
			return
		}
		e.mu.Lock()
		if e.isDown {
			_ = c.Close()
		}
		e.open[c] = struct{}{}
		e.mu.Unlock()
		go func() {
			e.serve(c)
			_ = c.Close()
			e.mu.Lock()
			delete(e.open, c)
			e.mu.Unlock()
		}()
	}
}

func (e *engine) serve(c *net.TCPConn) {
	r := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return
		}
		if !e.respond(c, q) {
			return
		}
	}
}

func writeWhole(c net.Conn, status int, header, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), header, len(body), body)
	return err == nil
}

func (e *engine) respond(c *net.TCPConn, q *http.Request) bool {
	id := tlstand.AttemptID(q.Header)
	named := ""
	if id != "" {
		named = tlstand.AttemptIDHeaderLine(id)
	}
	if t := q.Header.Get("X-Trefoillanding-Target-Instance"); t != "" && t != e.id {
		return writeWhole(c, http.StatusMisdirectedRequest, named+"X-Trefoillanding-Instance-Id: "+e.id+"\r\n", "")
	}
	switch {
	case q.URL.Path == "/-/report":
		b, _ := json.Marshal(map[string]any{
			"phase": e.phase, "models": []any{}, "busy": false, "sequence": 0, "queued": 0, "running": 0,
			"kv_used": 0, "kv_total": 53213, "handles": 0, "born": e.born,
		})
		return writeWhole(c, http.StatusOK, "Content-Type: application/json\r\n", string(b))
	case q.URL.Path == "/-/order":
		return writeWhole(c, http.StatusConflict, "", "")
	case strings.HasPrefix(q.URL.Path, "/-/kv-handle/"):
		return writeWhole(c, http.StatusOK, "", "")
	case q.Header.Get("X-Trefoillanding-Stage") == "prefill" && e.phase != "prefill":
		return writeWhole(c, http.StatusMisdirectedRequest, named, "")
	case q.Header.Get("X-Trefoillanding-Stage") == "prefill":
		time.Sleep(30 * time.Millisecond)
		e.mu.Lock()
		e.handles++
		handle := fmt.Sprintf("%s-%d-%d", e.id, e.born, e.handles)
		e.mu.Unlock()
		return writeWhole(c, http.StatusOK, named+"Content-Type: application/json\r\n", fmt.Sprintf(`{"kv_handle":%q,"tokens":%d,"version":1}`, handle, 1000))
	}
	return e.answer(e, c, q)
}

// firstEvent returns the number of the event with which an answer begins.
func firstEvent(q *http.Request) int {
	n, err := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	if err != nil {
		return 1
	}
	return n + 1
}
