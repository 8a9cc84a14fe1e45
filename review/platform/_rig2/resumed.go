package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"trefoillanding/platform/tlform"
	"trefoillanding/platform/tlstand"
)

const (
	streamEvents = 12
	// badPart is the part of a prompt that crashes each replica that begins to write an
	// answer on it; crashAfter is when it does, from the head of the answer on.
	badPart    = "bad0bad0"
	crashAfter = 125 * time.Millisecond
)

// llmConfig returns a configuration with a route whose streams may be resumed.
func llmConfig() tlform.Configuration {
	return tlform.Configuration{
		Version: 1,
		Routes: []tlform.Route{{
			Name: "menu-digest", Host: tlstand.Host, PathPrefix: tlstand.ResumablePath, Kind: "streaming", Service: "kiosk-llm",
			MaxAttempts: 2, TimeoutMs: 14000, ObjectiveMs: 900, GapObjectiveMs: 300, Priority: 1, Resumable: true,
		}},
		Services: []tlform.Service{{Name: "kiosk-llm", Engine: &tlform.Engine{Slots: 128, KvTokens: 53213, KvTokenBytes: 18432, LinkMbps: 350000, Stride: 11, KvTtlS: 0.5, SwapS: 6}}},
		Limits:   tlform.Limits{HeaderBytes: 16384, BodyBytes: 4194304, HeaderMs: 3000, IdleMs: 15000},
	}
}

// streamed is a client's view of one answer.
type streamed struct {
	status     int
	ids        []string
	isComplete bool
	err        error
}

// readStream sends a call and reads its answer to the end.
func readStream(g *gateway, q tlstand.Call) streamed {
	r, err := q.Request(g.listen)
	if err != nil {
		return streamed{err: err}
	}
	c := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 15 * time.Second}
	a, err := c.Do(r)
	if err != nil {
		return streamed{err: err}
	}
	defer a.Body.Close()
	s := streamed{status: a.StatusCode}
	lines := bufio.NewScanner(a.Body)
	for lines.Scan() {
		if id, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			s.ids = append(s.ids, id)
		}
	}
	s.err = lines.Err()
	s.isComplete = s.err == nil
	return s
}

// unframedStream writes a stream with neither a length nor chunks, which ends with its
// connection. A run that goes on after an event reads anew what was written until there.
func unframedStream(r *record, isTrouble bool, onCrash func(*engine)) answerWriter {
	return func(e *engine, c *net.TCPConn, q *http.Request) bool {
		id, from := tlstand.AttemptID(q.Header), firstEvent(q)
		head := "HTTP/1.1 200 OK\r\n" + tlstand.AttemptIDHeaderLine(id) + "X-Trefoillanding-Response-Seal: seal-" + e.id + "\r\nContent-Type: text/event-stream\r\n\r\n"
		if _, err := c.Write([]byte(head)); err != nil {
			return false
		}
		r.log("%s begins to answer %s at event %d", e.id, id, from)
		if isTrouble && strings.Contains(q.Header.Get("X-Trefoillanding-Prefix-Hash"), badPart) {
			time.AfterFunc(crashAfter, func() {
				r.log("%s crashes on %s", e.id, id)
				e.crash()
				onCrash(e)
			})
		}
		first := 40 * time.Millisecond
		if from > 1 {
			first = 200 * time.Millisecond
		}
		time.Sleep(first)
		for n := from; n <= streamEvents; n++ {
			if _, err := fmt.Fprintf(c, "id: %d\ndata: text", n); err != nil {
				return false
			}
			time.Sleep(10 * time.Millisecond)
			if _, err := fmt.Fprintf(c, " %d of %s\n\n", n, id); err != nil {
				return false
			}
			r.log("%s has written event %d of %s", e.id, n, id)
			time.Sleep(30 * time.Millisecond)
		}
		return false
	}
}

// runResumed sends prompts of which some have a part that crashes replicas, and counts the
// streams that end as complete before their last event.
func runResumed(r *record, isTrouble bool) (int, error) {
	f, err := newFleet(3, llmConfig())
	if err != nil {
		return 0, err
	}
	defer f.close()
	var mu sync.Mutex
	var engines []*engine
	start := func(id, phase string, answer answerWriter) error {
		e, err := startEngine(f.store, id, "kiosk-llm", phase, "v1", nil, answer)
		if err != nil {
			return err
		}
		mu.Lock()
		defer mu.Unlock()
		engines = append(engines, e)
		return nil
	}
	defer func() {
		mu.Lock()
		defer mu.Unlock()
		for _, e := range engines {
			e.crash()
		}
	}()
	var answer answerWriter
	back := func(e *engine) {
		// The replica is back after some seconds, as a new incarnation.
		time.AfterFunc(3*time.Second, func() { _ = start(e.id+"b", "decode", answer) })
		time.AfterFunc(3600*time.Millisecond, func() { f.store.Put("keyed.servers", e.id, nil) })
	}
	answer = unframedStream(r, isTrouble, back)
	for n := range 2 {
		if err := start(fmt.Sprintf("i-p%d", n), "prefill", answer); err != nil {
			return 0, err
		}
	}
	for n := range 8 {
		if err := start(fmt.Sprintf("i-d%d", n), "decode", answer); err != nil {
			return 0, err
		}
	}
	if err := f.start(); err != nil {
		return 0, err
	}
	time.Sleep(3 * time.Second)

	broken, whole := 0, 0
	var sending sync.WaitGroup
	send := func(n int, isBad bool) {
		id := fmt.Sprintf("a%04d", n)
		parts := []string{"c0ffee01", "5afe0001", fmt.Sprintf("%08x", n+1)}
		if isBad {
			parts[1] = badPart
		}
		q := tlstand.Call{
			ID: id, Method: http.MethodPost, Host: tlstand.Host, Path: tlstand.ResumablePath + "x", Body: "prompt " + id,
			Deadline: 14 * time.Second, PromptTokens: 1500, OutputTokens: 132, Parts: parts,
		}
		g := f.gateways[n%len(f.gateways)]
		r.log("client sends %s to %s, with the part %s", id, g.name, parts[1])
		s := readStream(g, q)
		r.log("client has the answer to %s: status %d, events %v, complete %v, error %v", id, s.status, s.ids, s.isComplete, s.err)
		mu.Lock()
		defer mu.Unlock()
		isWhole := len(s.ids) == streamEvents
		if s.status == http.StatusOK && s.isComplete && !isWhole {
			r.log("BROKEN: %s ended as complete after %d of %d events", id, len(s.ids), streamEvents)
			broken++
		}
		if s.isComplete && isWhole {
			whole++
		}
	}
	for n := range 40 {
		isBad := n == 10 || n == 20 || n == 30
		sending.Go(func() { send(n, isBad) })
		time.Sleep(250 * time.Millisecond)
	}
	sending.Wait()
	r.log("%d of 40 streams were whole", whole)
	if whole < 30 {
		return broken, fmt.Errorf("only %d of 40 streams were whole", whole)
	}
	return broken, nil
}
