package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"trefoillanding/platform/tlform"
	"trefoillanding/platform/tlstand"
)

// rawReplica is a replica of a plain service that writes its answers byte by byte, so that
// it can spoil them.
type rawReplica struct {
	w       *world
	id      string
	address string
	// spoil says what is done to the answer of a request.
	spoil func() string
	// isGarbling says that the replica hands out wrong bytes now.
	isGarbling atomic.Bool

	mu    sync.Mutex
	runs  map[string]int
	given map[string]string
}

// total returns how many requests ran here.
func (e *rawReplica) total() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.runs)
}

// What may be done to an answer.
const (
	sound = ""
	// spoiltHead puts wrong bytes in the place of the answer's own headers.
	spoiltHead = "wrong bytes in the head"
	// lateBytes sends bytes after the complete answer, at the point where the next answer is expected.
	lateBytes = "additional bytes after the answer"
)

func (w *world) startRawReplica(id, service, zone string, spoil func() string) (*rawReplica, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &rawReplica{w: w, id: id, address: l.Addr().String(), spoil: spoil, runs: map[string]int{}, given: map[string]string{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go e.serve(c)
		}
	}()
	w.store.PutJSON("keyed.servers", id, tlform.Entry{Service: service, Address: e.address, Zone: zone, Slots: 6, State: "ready", Version: "1", Born: time.Now().UnixMilli(), Sequence: 1})
	return e, nil
}

func (e *rawReplica) serve(c net.Conn) {
	defer c.Close()
	b := bufio.NewReader(c)
	extra := ""
	for {
		r, err := http.ReadRequest(b)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		id := r.Header.Get("X-Trefoillanding-Attempt-Id")
		if t := r.Header.Get("X-Trefoillanding-Target-Instance"); t != e.id {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Trefoillanding-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
			continue
		}
		if extra != "" {
			e.w.note("replica %s sends %s where the answer to %s is expected", e.id, lateBytes, id)
			_, _ = io.WriteString(c, extra)
		}
		e.mu.Lock()
		e.runs[id]++
		seal, body := "seal-"+e.id+"-"+id, "answer of "+e.id+" to "+id
		e.given[id] = seal
		e.mu.Unlock()
		e.w.note("replica %s runs %s", e.id, id)
		time.Sleep(20 * time.Millisecond)
		how := sound
		if e.isGarbling.Load() {
			how = e.spoil()
		}
		head := fmt.Sprintf("X-Trefoillanding-Attempt-Id: %s\r\nX-Trefoillanding-Response-Seal: %s\r\n", id, seal)
		if how == spoiltHead {
			e.w.note("replica %s answers %s with %s", e.id, id, how)
			head = strings.NewReplacer("X-Trefoillanding", "X-0refoi1landing", "-to-", "-").Replace(head)
		}
		extra = ""
		if how == lateBytes {
			extra = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n00000"
		}
		if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", head, len(body), body); err != nil {
			return
		}
	}
}

// garbledPayments sends payments while the three busiest of
// five replicas hand out wrong bytes in a few of their answers.
func garbledPayments(w *world, hasTrouble bool) (bool, error) {
	const (
		rate     = 30
		length   = 20 * time.Second
		from, to = 7 * time.Second, 12 * time.Second
		share    = 0.05
	)
	w.putConfig(tlstand.Config(1))
	var spoilt atomic.Int64
	spoil := func() string {
		if rand.Float64() >= share {
			return sound
		}
		spoilt.Add(1)
		if rand.IntN(2) == 0 {
			return lateBytes
		}
		return spoiltHead
	}
	var replicas []*rawReplica
	for k := range 5 {
		e, err := w.startRawReplica(fmt.Sprintf("i-%d", k+1), tlstand.PlainService, fmt.Sprintf("zone-%d", k%3+1), spoil)
		if err != nil {
			return false, err
		}
		replicas = append(replicas, e)
	}
	for k := range 3 {
		if _, err := w.startGateway(fmt.Sprintf("edge-%d", k+1), fmt.Sprintf("zone-%d", k+1)); err != nil {
			return false, err
		}
	}
	if err := w.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	all := slices.Clone(replicas)
	c := w.newClient()
	var sending sync.WaitGroup
	var mu sync.Mutex
	status := map[int]int{}
	unsealed := 0
	began, isGarbling := time.Now(), false
	n := 0
	for ; time.Since(began) < length; n++ {
		now := time.Since(began)
		if hasTrouble && !isGarbling && now >= from && now < to {
			isGarbling = true
			slices.SortFunc(replicas, func(a, b *rawReplica) int { return b.total() - a.total() })
		}
		for k, e := range replicas {
			e.isGarbling.Store(isGarbling && k < 3 && now < to)
		}
		id := fmt.Sprintf("pay-%04d", n)
		g := w.gateways[n%len(w.gateways)]
		sending.Go(func() {
			o := c.do(g.listen, request{
				id: id, method: http.MethodPost, path: tlstand.AtMostOncePath + "invoices", body: `{"amount":12}`,
				deadline: 1500 * time.Millisecond,
			})
			seal := o.header.Get("X-Trefoillanding-Response-Seal")
			isGiven := false
			for _, e := range all {
				e.mu.Lock()
				isGiven = isGiven || e.given[id] == seal && seal != ""
				e.mu.Unlock()
			}
			mu.Lock()
			defer mu.Unlock()
			status[o.status]++
			if o.status/100 == 2 && !isGiven {
				unsealed++
				w.say("BROKEN: %s got %d without the replica's seal: %q", id, o.status, o.body)
			}
		})
		time.Sleep(time.Second / rate)
	}
	sending.Wait()
	w.say("%d payments, statuses %v, answers spoilt %d, successes without the replica's seal %d", n, status, spoilt.Load(), unsealed)
	return unsealed > 0, nil
}
