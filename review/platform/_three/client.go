package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// deadline is how long a client waits, and connectTime how long for a new connection.
const (
	deadline    = 14 * time.Second
	connectTime = time.Second
)

// client sends requests to the gateways that a lookup names.
type client struct {
	f *fleet

	mu       sync.Mutex
	known    []string
	lookedUp time.Time
}

// addresses returns the gateways of the last lookup, which is kept for a second.
func (c *client) addresses() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.lookedUp) < time.Second {
		return c.known
	}
	for _, n := range rand.Perm(len(c.f.gateways)) {
		ctx, stop := context.WithTimeout(context.Background(), time.Second)
		r, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.f.gateways[n].lookup+"/-/lookup?name=a.example&region=r&zone=z1", nil)
		var l struct {
			Addresses []string `json:"addresses"`
		}
		a, err := http.DefaultClient.Do(r)
		if err == nil {
			err = json.NewDecoder(a.Body).Decode(&l)
			_ = a.Body.Close()
		}
		stop()
		if err == nil && len(l.Addresses) > 0 {
			c.known, c.lookedUp = l.Addresses, time.Now()
			return c.known
		}
	}
	return c.known
}

// try is one client attempt and its answer.
type try struct {
	id       string
	sent     time.Time
	status   int
	header   http.Header
	firstAt  time.Time
	pieces   []piece
	isWhole  bool
	cause    string
	lastID   string
	isTakeUp bool
}

// piece is an event as its data names it.
type piece struct {
	n, of   int
	version string
}

func (t try) hasBegun() bool { return len(t.pieces) > 0 }

// isComplete reports whether the answer looks complete.
func (t try) isComplete() bool { return t.status == http.StatusOK && t.isWhole }

// isCut reports whether an answer that looks complete ended before its last piece.
func (t try) isShort() bool {
	return t.isComplete() && (len(t.pieces) == 0 || t.pieces[len(t.pieces)-1].n != t.pieces[len(t.pieces)-1].of)
}

// request describes a stream.
type request struct {
	name       string
	in, out    int
	parts      []string
	started    time.Time
	after, was string
}

// send makes one client attempt on a new connection; a request that goes on names the event
// that it has and the attempt that brought the first.
func (c *client) send(q request, id string) try {
	t := try{id: id, sent: time.Now(), isTakeUp: q.after != ""}
	left := deadline - time.Since(q.started)
	all := c.addresses()
	if len(all) == 0 {
		t.cause = "no address"
		return t
	}
	address := all[rand.IntN(len(all))]
	ctx, stop := context.WithTimeout(context.Background(), left)
	defer stop()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/digest/"+q.name, strings.NewReader("the prompt of "+q.name))
	if err != nil {
		t.cause = err.Error()
		return t
	}
	r.Host = "a.example"
	h := r.Header
	h.Set("X-Trefoillanding-Attempt-Id", id)
	h.Set("X-Trefoillanding-Model", "m")
	h.Set("X-Trefoillanding-Token-Count", fmt.Sprintf("%d,%d", q.in, q.out))
	var prefix []string
	for n, p := range q.parts {
		size := 200
		if n == len(q.parts)-1 {
			size = q.in - 200*(len(q.parts)-1)
		}
		prefix = append(prefix, fmt.Sprintf("%s:%d", p, size))
	}
	h.Set("X-Trefoillanding-Prefix-Hash", strings.Join(prefix, ","))
	h.Set("X-Trefoillanding-Deadline-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	if q.after != "" {
		h.Set("Last-Event-Id", q.after)
		h.Set("Resumes", q.was)
	}
	c.f.record.note("client sends %s (%s) to %s, after %q", id, q.name, address, q.after)
	transport := &http.Transport{DisableCompression: true, DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	a, err := transport.RoundTrip(r)
	if err != nil {
		t.cause = err.Error()
		c.f.record.note("client gets no answer to %s: %v", id, err)
		return t
	}
	defer a.Body.Close()
	t.status, t.header = a.StatusCode, a.Header
	t.read(a.Body)
	c.f.record.note("client gets %d to %s: %d events, last %q, looks complete: %v, Retry-After %q, end: %s",
		t.status, id, len(t.pieces), t.lastID, t.isComplete(), a.Header.Get("Retry-After"), t.cause)
	return t
}

// read reads the events of an answer.
func (t *try) read(body io.Reader) {
	in := bufio.NewReader(body)
	for {
		line, err := in.ReadString('\n')
		if errors.Is(err, io.EOF) {
			t.isWhole = true
			return
		}
		if err != nil {
			t.cause = err.Error()
			return
		}
		var p piece
		var of, name string
		switch {
		case strings.HasPrefix(line, "id: "):
			t.lastID = strings.TrimSpace(line[4:])
		case strings.HasPrefix(line, "data: "):
			if n, _ := fmt.Sscanf(line, "data: %s piece %d %s %d by %s", &name, &p.n, &of, &p.of, &p.version); n == 5 {
				if t.firstAt.IsZero() {
					t.firstAt = time.Now()
				}
				t.pieces = append(t.pieces, p)
			}
		}
	}
}

// stream sends a request, and takes it up, or sends it again, up to a number of times within its deadline.
func (c *client) stream(q request, retries int) []try {
	q.started = time.Now()
	var tries []try
	for n := 0; n <= retries; n++ {
		t := c.send(q, fmt.Sprintf("%s-%d", q.name, n))
		tries = append(tries, t)
		if t.isComplete() || time.Since(q.started) > deadline-500*time.Millisecond {
			break
		}
		if t.hasBegun() {
			if q.was == "" {
				q.was = t.id
			}
			q.after = t.lastID
		}
		if slices.Contains([]int{400, 401, 404, 413, 431}, t.status) {
			break
		}
		wait, _ := strconv.ParseFloat(t.header.Get("Retry-After"), 64)
		left := deadline - time.Since(q.started)
		time.Sleep(min(time.Duration(wait*float64(time.Second)), left/3))
	}
	return tries
}
