package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"trefoillanding/platform/tlstand"
)

const (
	// replicaLimit is the Server-Limit that each replica names: several times what it gets.
	replicaLimit = "2"
	longEvents   = 40
)

// limitedStream answers with a stream in chunks on a kept connection, and names a limit.
func limitedStream(r *record, isTrouble bool) answerWriter {
	return func(e *engine, c *net.TCPConn, q *http.Request) bool {
		id, from := tlstand.AttemptID(q.Header), firstEvent(q)
		limit := ""
		if isTrouble {
			limit = "Server-Limit: " + replicaLimit + "\r\n"
		}
		r.log("%s begins to answer %s at event %d", e.id, id, from)
		if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sX-Trefoillanding-Response-Seal: seal-%s\r\n%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", tlstand.AttemptIDHeaderLine(id), e.id, limit); err != nil {
			return false
		}
		time.Sleep(31 * time.Millisecond)
		for n := from; n <= longEvents; n++ {
			s := fmt.Sprintf("id: %d\ndata: text %d\n\n", n, n)
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(s), s); err != nil {
				r.log("%s ends its work on %s", e.id, id)
				return false
			}
			time.Sleep(60 * time.Millisecond)
		}
		_, err := c.Write([]byte("0\r\n\r\n"))
		return err == nil
	}
}

// streamClient is one answer as it is read, on a connection that can be reset.
type streamClient struct {
	conn   *net.TCPConn
	status int
	retry  float64
	last   int
}

// begin sends a call and reads the head of the answer.
func begin(g *gateway, q tlstand.Call) (*streamClient, *http.Response, error) {
	c, err := net.DialTimeout("tcp", g.listen.String(), time.Second)
	if err != nil {
		return nil, nil, err
	}
	_ = c.SetDeadline(time.Now().Add(14 * time.Second))
	req, err := q.Request(g.listen)
	if err != nil {
		return nil, nil, err
	}
	req.Close = false
	if err := req.Write(c); err != nil {
		_ = c.Close()
		return nil, nil, err
	}
	a, err := http.ReadResponse(bufio.NewReader(c), req)
	if err != nil {
		_ = c.Close()
		return nil, nil, err
	}
	retry, _ := strconv.ParseFloat(a.Header.Get("Retry-After"), 64)
	return &streamClient{conn: c.(*net.TCPConn), status: a.StatusCode, retry: retry}, a, nil
}

// read reads events until the answer ends; it reports whether it is whole.
func (s *streamClient) read(a *http.Response, onEvent func(n int)) bool {
	lines := bufio.NewScanner(a.Body)
	for lines.Scan() {
		if text, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			s.last, _ = strconv.Atoi(text)
			onEvent(s.last)
		}
	}
	return lines.Err() == nil && s.last == longEvents
}

// resetter knows the open connections to each gateway, and resets some.
type resetter struct {
	mu   sync.Mutex
	open map[*gateway]map[*streamClient]bool
}

func (t *resetter) add(g *gateway, s *streamClient) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.open[g] == nil {
		t.open[g] = map[*streamClient]bool{}
	}
	t.open[g][s] = true
}

func (t *resetter) remove(g *gateway, s *streamClient) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.open[g], s)
}

// reset resets half of the connections to a gateway.
func (t *resetter) reset(g *gateway) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for s := range t.open[g] {
		if n >= (len(t.open[g])+1)/2 {
			break
		}
		_ = s.conn.SetLinger(0)
		_ = s.conn.Close()
		n++
	}
	return n
}

// takeUps counts the streams that began and those that clients took up again.
type takeUps struct {
	mu                                sync.Mutex
	sent, begun, taken, wentOn, whole int
}

func (t *takeUps) count(n *int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	*n++
}

// runLimits sends streams that may be resumed, of which some lose their connection, and
// compares the share of take-ups that go on with that of new streams that begin.
func runLimits(r *record, isTrouble bool) (int, error) {
	f, err := newFleet(7, llmConfig())
	if err != nil {
		return 0, err
	}
	defer f.close()
	for n := range 18 {
		phase := "decode"
		if n < 6 {
			phase = "prefill"
		}
		e, err := startEngine(f.store, fmt.Sprintf("i-%s%d", phase[:1], n), "kiosk-llm", phase, "v1", nil, limitedStream(r, isTrouble))
		if err != nil {
			return 0, err
		}
		defer e.crash()
	}
	if err := f.start(); err != nil {
		return 0, err
	}
	time.Sleep(4 * time.Second)
	t := resetter{open: map[*gateway]map[*streamClient]bool{}}
	var k takeUps
	call := func(id string, n int) tlstand.Call {
		return tlstand.Call{
			ID: id, Method: http.MethodPost, Host: tlstand.Host, Path: tlstand.ResumablePath + "x", Body: "prompt",
			Deadline: 14 * time.Second, PromptTokens: 1500, OutputTokens: 440, Parts: []string{"c0ffee01", fmt.Sprintf("%08x", n+1)},
		}
	}
	one := func(n int) {
		id := fmt.Sprintf("a%04d", n)
		g := f.gateways[n%len(f.gateways)]
		k.count(&k.sent)
		r.log("client sends %s to %s", id, g.name)
		s, a, err := begin(g, call(id, n))
		if err != nil || s.status != http.StatusOK {
			r.log("client has no stream for %s: %v", id, err)
			return
		}
		t.add(g, s)
		isWhole := s.read(a, func(at int) {
			if at == 1 {
				k.count(&k.begun)
			}
		})
		t.remove(g, s)
		if isWhole {
			k.count(&k.whole)
			return
		}
		if s.last == 0 {
			return
		}
		// The machines 0 and 1 have their connections reset; the stream is taken up at others.
		k.count(&k.taken)
		for try := range 2 {
			q := call(fmt.Sprintf("%s.%d", id, try+1), n)
			q.ResumeAfter, q.Resumes = strconv.Itoa(s.last), id
			other := f.gateways[2+rand.IntN(len(f.gateways)-2)]
			r.log("client takes up %s after event %d at %s", id, s.last, other.name)
			u, b, err := begin(other, q)
			if err != nil {
				r.log("client has no answer: %v", err)
				continue
			}
			if u.status != http.StatusOK {
				r.log("client is refused with %d, come back in %.3f s", u.status, u.retry)
				time.Sleep(time.Duration(max(u.retry, .1) * float64(time.Second)))
				continue
			}
			isOn := false
			isWhole := u.read(b, func(int) { isOn = true })
			r.log("client has taken up %s: goes on %v, whole %v, last %d", id, isOn, isWhole, u.last)
			if isOn {
				k.count(&k.wentOn)
				return
			}
		}
	}
	var sending sync.WaitGroup
	for n := range 200 {
		sending.Go(func() { one(n) })
		if n >= 40 && n%10 == 0 {
			g := f.gateways[n/10%2]
			r.log("%d connections of %s are reset", t.reset(g), g.name)
		}
		time.Sleep(100 * time.Millisecond)
	}
	sending.Wait()
	r.log("%d of %d new streams began, %d were whole at once; %d of %d that were taken up went on", k.begun, k.sent, k.whole, k.wentOn, k.taken)
	fmt.Printf("%d of %d new streams began; %d of %d that were taken up went on\n", k.begun, k.sent, k.wentOn, k.taken)
	if k.taken < 12 || k.begun < 100 {
		return 0, fmt.Errorf("too few streams")
	}
	if float64(k.wentOn)/float64(k.taken) < float64(k.begun)/float64(k.sent)/2 {
		return 1, nil
	}
	return 0, nil
}
