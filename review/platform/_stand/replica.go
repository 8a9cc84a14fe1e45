package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"trefoillanding/platform/tlform"
)

// replica is a stand-in of a plain service's replica. It answers and counts as the pages say.
type replica struct {
	w       *world
	id      string
	service string
	zone    string
	server  *http.Server
	address string
	work    time.Duration
	// after, if set, is called once a request has run, and reports whether it dealt with the answer.
	after func(w http.ResponseWriter, id string) bool
	// onRun, if set, is told of each run: its request's id, method and target.
	onRun func(id, method, target string)

	mu       sync.Mutex
	runs     map[string]int
	sequence int64
	born     int64
}

func (w *world) startReplica(id, service, zone string, work time.Duration) (*replica, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &replica{w: w, id: id, service: service, zone: zone, address: l.Addr().String(), work: work, runs: map[string]int{}, born: time.Now().UnixMilli()}
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve)}
	go func() { _ = e.server.Serve(l) }()
	e.put("ready")
	return e, nil
}

// total returns how many runs there were here.
func (e *replica) total() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, k := range e.runs {
		n += k
	}
	return n
}

// setAfter sets what is done once a request has run.
func (e *replica) setAfter(f func(w http.ResponseWriter, id string) bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.after = f
}

// put writes the replica's entry into the store.
func (e *replica) put(state string) {
	e.mu.Lock()
	e.sequence++
	entry := tlform.Entry{Service: e.service, Address: e.address, Zone: e.zone, Slots: 6, State: state, Version: "1", Born: e.born, Sequence: e.sequence}
	e.mu.Unlock()
	e.w.store.PutJSON("keyed.servers", e.id, entry)
	e.w.note("replica %s writes %s", e.id, state)
}

// runCount returns how often a request has run here.
func (e *replica) runCount(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id]
}

func (e *replica) serve(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("X-Trefoillanding-Attempt-Id")
	h := w.Header()
	if id == "" {
		h.Set("X-Trefoillanding-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	h.Set("X-Trefoillanding-Attempt-Id", id)
	if t := r.Header.Get("X-Trefoillanding-Target-Instance"); t != "" && t != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mu.Lock()
	e.runs[id]++
	n := e.runs[id]
	e.mu.Unlock()
	e.w.note("replica %s runs %s, run %d, on connection %s", e.id, id, n, r.RemoteAddr)
	if e.onRun != nil {
		e.onRun(id, r.Method, r.RequestURI)
	}
	time.Sleep(e.work)
	e.mu.Lock()
	after := e.after
	e.mu.Unlock()
	if after != nil && after(w, id) {
		return
	}
	h.Set("X-Trefoillanding-Response-Seal", "seal-"+e.id+"-"+id)
	fmt.Fprintf(w, "answer of %s to %s", e.id, id)
}

// reset resets the connection of a request, so that its answer is lost.
func reset(w http.ResponseWriter) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
