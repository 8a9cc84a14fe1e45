package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// spec says what a replica is and how it answers.
type spec struct {
	ID, Service, Phase, Version, Store string
	// EventMs is the time between the events of a stream.
	EventMs int
	// Unframed has streams written with neither a length nor chunks.
	Unframed bool
	// CrashPart is a part of a prompt on which the replica's process ends as it begins to
	// write an answer, after CrashEvents events of it.
	CrashPart   string
	CrashEvents int
}

const (
	tokensPerEvent = 8
	slots          = 64
	kvTokens       = 58676
	handleLifetime = 500 * time.Millisecond
	swapTime       = 6 * time.Second
	// servesOn is how long a replica serves after it has removed its entry.
	servesOn = 6 * time.Second
)

// replica is a language replica. It reports what it does on its standard output, and takes
// "drain" on its standard input.
type replica struct {
	spec
	address  string
	listener net.Listener
	born     int64

	mu        sync.Mutex
	state     string
	phase     string
	swapping  bool
	beats     int
	orders    int
	fence     float64
	running   int
	held      int
	handles   map[string]time.Time
	handleSeq int
	// hasVanished says that its entry is removed.
	hasVanished bool
}

func runReplica(text string) {
	r := &replica{born: time.Now().UnixMilli(), state: "ready", handles: map[string]time.Time{}}
	if err := json.Unmarshal([]byte(text), &r.spec); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	r.phase = r.Phase
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	r.address, r.listener = l.Addr().String(), l
	go func() {
		for {
			r.beat()
			time.Sleep(heartbeat)
		}
	}()
	go r.takeCommands()
	_ = http.Serve(l, r)
	select {}
}

// takeCommands ends the replica with the process that started it.
func (r *replica) takeCommands() {
	in := bufio.NewScanner(os.Stdin)
	for in.Scan() {
		if in.Text() == "unlisten" {
			_ = r.listener.Close()
		}
		if in.Text() == "vanish" {
			r.vanish()
		}
		if in.Text() == "drain" {
			r.mu.Lock()
			r.state = "draining"
			r.mu.Unlock()
			r.beat()
			r.log("drains")
		}
	}
	os.Exit(0)
}

func (r *replica) log(format string, args ...any) {
	fmt.Printf("%d %s %s\n", time.Now().UnixMilli(), r.ID, fmt.Sprintf(format, args...))
}

// vanish removes the replica's entry; it serves on for some seconds and exits.
func (r *replica) vanish() {
	r.mu.Lock()
	r.hasVanished = true
	r.mu.Unlock()
	a, err := http.Post("http://"+r.Store+"/beat?id="+r.ID, "application/json", nil)
	if err == nil {
		_ = a.Body.Close()
	}
	r.log("has removed its entry")
	time.AfterFunc(servesOn, func() {
		r.log("exits")
		os.Exit(0)
	})
}

func (r *replica) beat() {
	r.mu.Lock()
	if r.hasVanished {
		r.mu.Unlock()
		return
	}
	r.beats++
	b, _ := json.Marshal(map[string]any{
		"service": r.Service, "address": r.address, "zone": "z1", "version": r.Version, "slots": slots,
		"state": r.state, "cold_left_ms": 0, "phase": r.phase, "born": r.born, "sequence": r.beats,
		"models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}},
	})
	r.mu.Unlock()
	a, err := http.Post("http://"+r.Store+"/beat?id="+r.ID, "application/json", bytes.NewReader(b))
	if err == nil {
		_ = a.Body.Close()
	}
}

func notRun(w http.ResponseWriter, status int) {
	w.Header().Set("X-Trefoillanding-Not-Executed", "1")
	w.WriteHeader(status)
}

// ServeHTTP answers a call or a request.
func (r *replica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	if t := q.Header.Get("X-Trefoillanding-Target-Instance"); t != "" && t != r.ID {
		w.Header().Set("X-Trefoillanding-Instance-Id", r.ID)
		w.Header().Set("X-Trefoillanding-Attempt-Id", q.Header.Get("X-Trefoillanding-Attempt-Id"))
		notRun(w, http.StatusMisdirectedRequest)
		return
	}
	switch {
	case r.Phase == "":
		r.plain(w, q)
	case q.URL.Path == "/-/report":
		r.report(w)
	case q.URL.Path == "/-/order":
		r.order(w, body)
	case strings.HasPrefix(q.URL.Path, "/-/kv-handle/"):
		r.take(strings.TrimPrefix(q.URL.Path, "/-/kv-handle/"))
	case q.URL.Path == "/take":
		if !r.take(q.URL.Query().Get("handle")) {
			w.WriteHeader(http.StatusNotFound)
		}
	default:
		r.request(w, q)
	}
}

func (r *replica) report(w http.ResponseWriter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"phase": r.phase, "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}},
		"busy": r.swapping, "sequence": r.orders, "queued": 0, "running": r.running, "kv_used": r.held,
		"kv_total": kvTokens, "handles": len(r.handles), "born": r.born,
	})
}

func (r *replica) order(w http.ResponseWriter, body []byte) {
	var o struct {
		Operation, Phase, Holder string
		FencingToken             *float64 `json:"fencing_token"`
		Expected                 *int
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	switch err := json.Unmarshal(body, &o); {
	case err != nil || o.Operation != "phase" || o.Holder == "" || o.FencingToken == nil:
		w.WriteHeader(http.StatusBadRequest)
	case *o.FencingToken < r.fence:
		w.WriteHeader(http.StatusPreconditionFailed)
	case r.swapping || o.Expected != nil && *o.Expected != r.orders:
		w.WriteHeader(http.StatusConflict)
	case o.Phase == r.phase:
		r.fence = *o.FencingToken
	default:
		r.fence, r.swapping = *o.FencingToken, true
		r.orders++
		r.log("is ordered to %s by %s", o.Phase, o.Holder)
		time.AfterFunc(swapTime, func() {
			r.mu.Lock()
			r.phase, r.swapping = o.Phase, false
			r.mu.Unlock()
			r.beat()
		})
		w.WriteHeader(http.StatusAccepted)
	}
}

// take takes or frees a handle; it reports whether it was there.
func (r *replica) take(handle string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	until, ok := r.handles[handle]
	delete(r.handles, handle)
	return ok && time.Now().Before(until)
}

func (r *replica) request(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("X-Trefoillanding-Attempt-Id")
	prompt, output, _ := strings.Cut(q.Header.Get("X-Trefoillanding-Token-Count"), ",")
	in, _ := strconv.Atoi(prompt)
	out, _ := strconv.Atoi(output)
	w.Header().Set("X-Trefoillanding-Attempt-Id", id)
	isPrefill := q.Header.Get("X-Trefoillanding-Stage") == "prefill"
	r.mu.Lock()
	phase, isFull := r.phase, r.running >= slots || r.held+in > kvTokens
	isSwapping := r.swapping
	r.mu.Unlock()
	switch {
	case id == "":
		notRun(w, http.StatusBadRequest)
		return
	case isPrefill != (phase == "prefill"):
		notRun(w, http.StatusMisdirectedRequest)
		return
	case isFull || isSwapping:
		notRun(w, http.StatusServiceUnavailable)
		return
	}
	readTime := time.Duration(float64(in)/55.6) * time.Millisecond
	if isPrefill {
		time.Sleep(readTime)
		r.mu.Lock()
		r.handleSeq++
		handle := fmt.Sprintf("%s-%d", r.ID, r.handleSeq)
		r.handles[handle] = time.Now().Add(handleLifetime)
		r.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{"kv_handle": handle, "tokens": in, "version": 1})
		return
	}
	if source := q.Header.Get("X-Trefoillanding-Kv-Source"); source != "" {
		address, handle, _ := strings.Cut(source, "/")
		a, err := http.Get("http://" + address + "/take?handle=" + handle)
		if err != nil || a.StatusCode != http.StatusOK {
			notRun(w, http.StatusServiceUnavailable)
			return
		}
		_ = a.Body.Close()
		readTime = 0
	}
	r.mu.Lock()
	r.running++
	r.held += in
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		r.running--
		r.held -= in
		r.mu.Unlock()
	}()
	time.Sleep(2 * readTime)
	r.stream(w, q, id, (out+tokensPerEvent-1)/tokensPerEvent)
}

// stream writes the events after the last one that the client has.
func (r *replica) stream(w http.ResponseWriter, q *http.Request, id string, events int) {
	from, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	r.log("runs %s after %d, %d events in all", id, from, events)
	seal := "X-Trefoillanding-Response-Seal"
	write := func(text string) error {
		if _, err := io.WriteString(w, text); err != nil {
			return err
		}
		return http.NewResponseController(w).Flush()
	}
	gone := q.Context().Done()
	if r.Unframed {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		write = func(text string) error {
			_, err := io.WriteString(c, text)
			return err
		}
		gone = nil
		_ = write("HTTP/1.1 200 OK\r\nX-Trefoillanding-Attempt-Id: " + id + "\r\n" + seal + ": s-" + r.ID + "\r\nContent-Type: text/event-stream\r\n\r\n")
	} else {
		w.Header().Set(seal, "s-"+r.ID)
		w.Header().Set("Content-Type", "text/event-stream")
	}
	isCrash := r.CrashPart != "" && strings.Contains(q.Header.Get("X-Trefoillanding-Prefix-Hash"), r.CrashPart+":")
	for n := from + 1; n <= events; n++ {
		if isCrash && n == from+1+r.CrashEvents {
			r.log("crashes on %s", id)
			os.Exit(3)
		}
		if write(fmt.Sprintf("id: %d\ndata: %s piece %d of %d by %s\n\n", n, id, n, events, r.Version)) != nil {
			r.log("ends %s after %d", id, n-1)
			return
		}
		select {
		case <-time.After(time.Duration(r.EventMs) * time.Millisecond):
		case <-gone:
			r.log("ends %s after %d", id, n)
			return
		}
	}
	r.log("completes %s", id)
}

// plain answers a request of a plain service.
func (r *replica) plain(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("X-Trefoillanding-Attempt-Id")
	w.Header().Set("X-Trefoillanding-Attempt-Id", id)
	r.log("runs %s", id)
	time.Sleep(time.Duration(r.EventMs) * time.Millisecond)
	w.Header().Set("X-Trefoillanding-Response-Seal", "s-"+r.ID)
	_, _ = io.WriteString(w, strings.Repeat("x", 800))
}
