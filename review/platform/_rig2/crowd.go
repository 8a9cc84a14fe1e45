package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"trefoillanding/platform/tlstand"
)

const (
	// crowdSize is the number of callers that stop short of the end of their body, each at an
	// address of its own; one whose connection is closed comes back after crowdPause.
	crowdSize  = 1000
	crowdPause = 500 * time.Millisecond
	// crowdBytes of the crowdAnnounced bytes of a chunk are sent, and nothing after them.
	crowdBytes, crowdAnnounced = 64_900, 65_000
	// crowdFor is how long the crowd stays.
	crowdFor = 25 * time.Second
	// payers is the number of ordinary clients.
	payers = 10
)

// beInCrowd sends a body that stops just short of its end, and stays until it is closed.
func beInCrowd(g *gateway, from net.IP, stop time.Time, closed *atomic.Int64) {
	d := net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: from}}
	for time.Now().Before(stop) {
		if c, err := d.Dial("tcp", g.listen.String()); err == nil {
			_, _ = fmt.Fprintf(c, "POST /pay/x HTTP/1.1\r\nHost: %s\r\n%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s",
				tlstand.Host, tlstand.AttemptIDHeaderLine("crowd-"+from.String()), crowdAnnounced, strings.Repeat("x", crowdBytes))
			_ = c.SetReadDeadline(stop)
			_, _ = io.Copy(io.Discard, c)
			_ = c.Close()
			closed.Add(1)
		}
		time.Sleep(crowdPause)
	}
}

// payer is an ordinary client, which keeps its connection.
type payer struct {
	gateway *gateway
	from    net.IP
	conn    net.Conn
	reader  *bufio.Reader
	// sent counts the requests on the connection.
	sent int
}

// pay sends a payment; isKept says that its connection had carried another before.
func (p *payer) pay(id string) (status int, isKept bool, err error) {
	if p.conn == nil {
		d := net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: p.from}}
		c, err := d.Dial("tcp", p.gateway.listen.String())
		if err != nil {
			return 0, false, err
		}
		p.conn, p.reader, p.sent = c, bufio.NewReader(c), 0
	}
	isKept = p.sent > 0
	p.sent++
	status, err = p.exchange(id)
	if err != nil {
		_ = p.conn.Close()
		p.conn = nil
	}
	return status, isKept, err
}

func (p *payer) exchange(id string) (int, error) {
	_ = p.conn.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := fmt.Fprintf(p.conn, "POST /pay/x HTTP/1.1\r\nHost: %s\r\n%sX-Trefoillanding-Deadline-Ms: 1500\r\nContent-Length: 600\r\n\r\n%s",
		tlstand.Host, tlstand.AttemptIDHeaderLine(id), strings.Repeat("b", 600)); err != nil {
		return 0, err
	}
	a, err := http.ReadResponse(p.reader, nil)
	if err != nil {
		return 0, err
	}
	defer a.Body.Close()
	_, err = io.Copy(io.Discard, a.Body)
	return a.StatusCode, err
}

// payments counts what became of payments.
type payments struct {
	mu                  sync.Mutex
	sent, served        int
	lostKept, lostFirst []string
}

func (p *payments) note(id string, status int, isKept bool, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sent++
	switch {
	case err == nil && status == http.StatusOK:
		p.served++
	case err != nil && isKept:
		p.lostKept = append(p.lostKept, id)
	case err != nil:
		p.lostFirst = append(p.lostFirst, id)
	}
}

// runCrowd has ordinary clients send payments one after the other while a crowd comes with
// bodies that never end, and counts the payments on kept connections that ran and got no answer.
func runCrowd(r *record, isTrouble bool) (int, error) {
	f, err := newFleet(1, plainConfig())
	if err != nil {
		return 0, err
	}
	defer f.close()
	var ran sync.Map
	answer := func(e *engine, c *net.TCPConn, q *http.Request) bool {
		id := tlstand.AttemptID(q.Header)
		time.Sleep(20 * time.Millisecond)
		ran.Store(id, e.id)
		return writeWhole(c, http.StatusOK, tlstand.AttemptIDHeaderLine(id)+"X-Trefoillanding-Response-Seal: seal-"+id+"\r\n", "answer to "+id)
	}
	for n := range 3 {
		e, err := startEngine(f.store, fmt.Sprintf("i-s%d", n), "order-desk", "", "v1", nil, answer)
		if err != nil {
			return 0, err
		}
		defer e.crash()
	}
	if err := f.start(); err != nil {
		return 0, err
	}
	time.Sleep(2 * time.Second)
	g := f.gateways[0]
	stop := time.Now().Add(crowdFor)
	var coming sync.WaitGroup
	var closed atomic.Int64
	if isTrouble {
		r.log("a crowd of %d comes to %s", crowdSize, g.name)
		for n := range crowdSize {
			coming.Go(func() { beInCrowd(g, net.IPv4(127, 11, byte(n/200), byte(1+n%200)), stop, &closed) })
		}
	}
	time.Sleep(3 * time.Second)
	var p payments
	for n := range payers {
		coming.Go(func() {
			c := payer{gateway: g, from: net.IPv4(127, 1, 0, byte(1+n))}
			for k := 0; time.Now().Before(stop); k++ {
				id := fmt.Sprintf("o%d-%d", n, k)
				status, isKept, err := c.pay(id)
				p.note(id, status, isKept, err)
			}
		})
	}
	coming.Wait()
	time.Sleep(time.Second)
	r.log("%d payments sent, %d served; the crowd's connections were closed %d times; ready %v", p.sent, p.served, closed.Load(), g.isReady())
	broken, first := 0, 0
	for _, id := range p.lostKept {
		if e, isRun := ran.Load(id); isRun {
			r.log("%s ran at %s; its connection, which had carried another payment, was closed without an answer", id, e)
			broken++
		}
	}
	for _, id := range p.lostFirst {
		if e, isRun := ran.Load(id); isRun {
			r.log("%s ran at %s; its connection, whose first request it was, was closed without an answer", id, e)
			first++
		}
	}
	r.log("ran without an answer: %d on kept connections, %d as the first of theirs", broken, first)
	fmt.Printf("%d sent, %d served; ran without an answer: %d on kept connections, %d as the first of theirs\n", p.sent, p.served, broken, first)
	if p.served < 500 {
		return 0, fmt.Errorf("only %d payments were served", p.served)
	}
	if broken <= 3 {
		return 0, nil
	}
	return broken, nil
}
