package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"trefoillanding/platform/tlform"
)

// engine is a stand-in of a model replica. It can crash, and start again under its id.
type engine struct {
	w       *world
	id      string
	service string
	zone    string
	phase   string
	address string
	// events is the number of events of a stream, and every the time between them.
	events int
	every  time.Duration

	mu       sync.Mutex
	server   *http.Server
	conns    map[net.Conn]bool
	version  string
	born     int64
	sequence int64
	orders   int64
	handles  map[string]bool
	nHandles int
	runs     map[string]int
	isUp     bool
}

func (w *world) newEngine(id, service, zone, phase, version string) *engine {
	return &engine{w: w, id: id, service: service, zone: zone, phase: phase, version: version, address: freeAddress(freeIP()), events: 30, every: 60 * time.Millisecond, runs: map[string]int{}}
}

// start starts the engine, or starts it again, with a version of its software.
func (e *engine) start(version string) error {
	var l net.Listener
	var err error
	for range 50 {
		if l, err = net.Listen("tcp", e.address); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.version, e.born, e.sequence, e.orders, e.isUp = version, time.Now().UnixMilli(), 0, 0, true
	e.handles, e.conns = map[string]bool{}, map[net.Conn]bool{}
	conns := e.conns
	born := e.born
	e.server = &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { e.serve(w, r, version, born) }),
		ConnState: func(c net.Conn, s http.ConnState) {
			e.mu.Lock()
			defer e.mu.Unlock()
			if s == http.StateClosed {
				delete(conns, c)
				return
			}
			conns[c] = true
		},
	}
	s := e.server
	e.mu.Unlock()
	go func() { _ = s.Serve(l) }()
	e.w.note("engine %s starts, version %s, born %d", e.id, version, born)
	return nil
}

// crash ends the engine: its connections are reset, and nothing listens any more.
func (e *engine) crash() {
	e.mu.Lock()
	s, conns := e.server, e.conns
	e.isUp = false
	e.w.note("engine %s crashes", e.id)
	for c := range conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	e.mu.Unlock()
	_ = s.Close()
}

// entry returns the engine's entry in the store.
func (e *engine) entry(state string) tlform.Entry {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sequence++
	return tlform.Entry{Service: e.service, Address: e.address, Zone: e.zone, Slots: 64, State: state, Phase: e.phase, Version: e.version, Born: e.born, Sequence: e.sequence}
}

func (e *engine) put(state string) {
	t := e.entry(state)
	e.w.store.PutJSON("keyed.servers", e.id, t)
	e.w.note("engine %s writes %s, version %s, born %d", e.id, state, t.Version, t.Born)
}

func (e *engine) runCount(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id]
}

func (e *engine) serve(w http.ResponseWriter, r *http.Request, version string, born int64) {
	body, _ := io.ReadAll(r.Body)
	h := w.Header()
	if id := r.Header.Get("X-Trefoillanding-Attempt-Id"); id != "" {
		h.Set("X-Trefoillanding-Attempt-Id", id)
	}
	if t := r.Header.Get("X-Trefoillanding-Target-Instance"); t != "" && t != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case r.URL.Path == "/-/report":
		e.mu.Lock()
		t := fmt.Sprintf(`{"born":%d,"phase":%q,"sequence":%d,"kv_used":0,"kv_total":50000}`, born, e.phase, e.orders)
		e.mu.Unlock()
		_, _ = io.WriteString(w, t)
		return
	case r.URL.Path == "/-/order":
		e.mu.Lock()
		e.orders++
		e.mu.Unlock()
		e.w.note("engine %s gets order %s", e.id, body)
		w.WriteHeader(http.StatusConflict)
		return
	case strings.HasPrefix(r.URL.Path, "/-/kv-handle/"):
		return
	}
	id := r.Header.Get("X-Trefoillanding-Attempt-Id")
	isPrefill := r.Header.Get("X-Trefoillanding-Stage") == "prefill"
	if isPrefill != (e.phase == "prefill") {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if isPrefill {
		time.Sleep(20 * time.Millisecond)
		e.mu.Lock()
		e.nHandles++
		handle := fmt.Sprintf("%s-%d-%d", e.id, born, e.nHandles)
		e.mu.Unlock()
		h.Set("Content-Type", "application/json")
		_, _ = w.Write(fmt.Appendf(nil, `{"kv_handle":%q,"tokens":1000,"version":1}`, handle))
		return
	}
	e.mu.Lock()
	e.runs[id]++
	e.mu.Unlock()
	after := r.Header.Get("Last-Event-Id")
	e.w.note("engine %s (version %s) runs %s after %q", e.id, version, id, after)
	h.Set("X-Trefoillanding-Response-Seal", "seal-"+e.id+"-"+id)
	h.Set("Content-Type", "text/event-stream")
	from, _ := strconv.Atoi(after)
	for n := from + 1; n <= e.events; n++ {
		end := ""
		if n == e.events {
			end = " end"
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %s %d%s\n\n", n, version, e.id, n, end); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		if n == e.events {
			break
		}
		select {
		case <-time.After(e.every):
		case <-r.Context().Done():
			return
		}
	}
}
