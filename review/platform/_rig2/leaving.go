package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"trefoillanding/platform/tlform"
	"trefoillanding/platform/tlstand"
)

const (
	// contact is contact_ms of the site, lateBy how long after its arrival the store carries
	// out the write whose answer is lost: 1 to 6 s (fleetbench kinds, platform_lost, late).
	contact = 3 * time.Second
	lateBy  = 5 * time.Second
	// lostFor is how long answers are lost.
	lostFor = 4500 * time.Millisecond
	// tryingClients is how many clients open new connections; the rule asks for seven.
	tryingClients = 10
)

// plainConfig returns a configuration with a route of each plain kind.
func plainConfig() tlform.Configuration {
	c := tlform.Configuration{
		Version:  1,
		Services: []tlform.Service{{Name: "order-desk"}},
		Limits:   tlform.Limits{HeaderBytes: 16384, BodyBytes: 4194304, HeaderMs: 3000, IdleMs: 15000},
	}
	for _, k := range []struct{ name, path, kind string }{{"supplier-pay", "/pay/", "non_idempotent"}, {"stock-check", "/stock/", "idempotent"}} {
		c.Routes = append(c.Routes, tlform.Route{
			Name: k.name, Host: tlstand.Host, PathPrefix: k.path, Kind: k.kind, Service: "order-desk",
			MaxAttempts: 2, TimeoutMs: 1500, ObjectiveMs: 300, Priority: 2,
		})
	}
	return c
}

// plainAnswer runs a request for some time and answers it.
func plainAnswer(r *record) answerWriter {
	return func(e *engine, c *net.TCPConn, q *http.Request) bool {
		id := tlstand.AttemptID(q.Header)
		r.log("%s runs %s: %s %s", e.id, id, q.Method, q.RequestURI)
		time.Sleep(20 * time.Millisecond)
		return writeWhole(c, http.StatusOK, tlstand.AttemptIDHeaderLine(id)+"X-Trefoillanding-Response-Seal: seal-"+id+"\r\n", "answer to "+id)
	}
}

// look asks the lookups of up to three gateways for addresses.
func look(f *fleet, first int) []string {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for k := range 3 {
		a, err := c.Get("http://" + f.gateways[(first+k)%len(f.gateways)].lookup.String() + tlstand.LookupPath)
		if err != nil {
			continue
		}
		var l struct {
			Addresses []string `json:"addresses"`
		}
		err = json.NewDecoder(a.Body).Decode(&l)
		_ = a.Body.Close()
		if err == nil && a.StatusCode == http.StatusOK && len(l.Addresses) > 0 {
			return l.Addresses
		}
	}
	return nil
}

// connections counts the new connections of clients by address and time.
type connections struct {
	mu   sync.Mutex
	list []newConnection
}

type newConnection struct {
	at      time.Time
	client  int
	address string
}

func (c *connections) add(k newConnection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.list = append(c.list, k)
}

// in returns how many connections an address got in a window, and how many clients opened
// one anywhere.
func (c *connections) in(from, to time.Time, address string) (n, clients int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	seen := map[int]bool{}
	for _, k := range c.list {
		if k.at.Before(from) || k.at.After(to) {
			continue
		}
		seen[k.client] = true
		if k.address == address {
			n++
		}
	}
	return n, len(seen)
}

// try has a client open new connections, at addresses that it looks up each second, until stop.
func (c *connections) try(r *record, f *fleet, client int, stop time.Time, served *atomic.Int64) {
	var list []string
	var looked time.Time
	for n := 0; time.Now().Before(stop); n++ {
		if time.Since(looked) > time.Second {
			if l := look(f, rand.IntN(len(f.gateways))); l != nil {
				list, looked = l, time.Now()
			}
		}
		if len(list) > 0 {
			a := list[rand.IntN(len(list))]
			id := fmt.Sprintf("c%d-%d", client, n)
			call := tlstand.Call{ID: id, Method: http.MethodGet, Host: tlstand.Host, Path: "/stock/x", Deadline: 1500 * time.Millisecond}
			status := get(a, call)
			if status != 0 {
				c.add(newConnection{time.Now(), client, a})
			}
			if status == http.StatusOK {
				served.Add(1)
			}
			if n%10 == 0 {
				r.log("client %d: %s to %s, status %d, of %d addresses", client, id, a, status, len(list))
			}
		}
		time.Sleep(time.Duration(100+rand.IntN(100)) * time.Millisecond)
	}
}

// get sends a call on a new connection; it returns 0 if there is no answer.
func get(address string, call tlstand.Call) int {
	c := http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	q, err := call.Request(mustAddress(address))
	if err != nil {
		return 0
	}
	a, err := c.Do(q)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, a.Body)
	_ = a.Body.Close()
	return a.StatusCode
}

// loseThird has the store, for a time, leave each third write unanswered and carry it out
// later. It counts the writes of that time, and those lost.
func loseThird(r *record, store *tlstand.Store, d time.Duration, writes, lost *atomic.Int64) {
	until := time.Now().Add(d)
	store.SetIntercept(func(w http.ResponseWriter, q *http.Request) bool {
		if q.Method != http.MethodPost || time.Now().After(until) {
			return false
		}
		body, err := io.ReadAll(q.Body)
		q.Body = io.NopCloser(bytes.NewReader(body))
		if err != nil || len(body) < 5 || len(body) < 5+int(body[4]) {
			return false
		}
		topic, key, value := q.URL.Query().Get("topic"), string(body[5:5+int(body[4])]), bytes.Clone(body[5+int(body[4]):])
		if writes.Add(1)%3 != 0 {
			r.log("the store takes a write of %s in %s", key, topic)
			return false
		}
		lost.Add(1)
		r.log("the store leaves a write of %s in %s unanswered", key, topic)
		time.AfterFunc(lateBy, func() {
			store.Put(topic, key, value)
			r.log("the store carries out the write of %s in %s", key, topic)
		})
		<-q.Context().Done()
		panic(http.ErrAbortHandler)
	})
}

// ask is what a gateway said of its readiness.
type ask struct {
	at      time.Time
	isReady bool
}

// watch asks a gateway once a second whether it is ready, as the platform does.
func watch(g *gateway, stop time.Time) []ask {
	var asks []ask
	for time.Now().Before(stop) {
		asks = append(asks, ask{time.Now(), g.isReady()})
		time.Sleep(time.Second)
	}
	return asks
}

// idleSpans counts the spans of contact_ms, after a time, in which a gateway says that it
// is ready and takes no new connection, while seven clients or more try.
func (c *connections) idleSpans(r *record, g *gateway, asks []ask, after time.Time) int {
	broken := 0
	for _, a := range asks {
		from := a.at.Add(-contact)
		if from.Before(after) {
			continue
		}
		isReady := true
		for _, b := range asks {
			if !b.at.Before(from) && !b.at.After(a.at) {
				isReady = isReady && b.isReady
			}
		}
		n, clients := c.in(from, a.at, g.listen.String())
		r.log("in the 3 s until %.1f s: %s ready %v, %d new connections, %d clients opened some", a.at.Sub(r.began).Seconds(), g.name, isReady, n, clients)
		if isReady && n == 0 && clients >= 7 {
			broken++
		}
	}
	return broken
}

// roll stops a gateway and starts it again.
func roll(r *record, g *gateway) error {
	r.log("%s gets SIGTERM", g.name)
	g.end(syscall.SIGTERM)
	r.log("%s has ended", g.name)
	time.Sleep(500 * time.Millisecond)
	r.log("%s starts again", g.name)
	return g.start()
}

// runLeaving stops all gateways in turn and starts them again, while the answers to some
// writes are lost, and counts the spans in which one of them is ready and idle.
func runLeaving(r *record, isTrouble bool) (int, error) {
	f, err := newFleet(7, plainConfig())
	if err != nil {
		return 0, err
	}
	defer f.close()
	for n := range 3 {
		e, err := startEngine(f.store, fmt.Sprintf("i-s%d", n), "order-desk", "", "v1", nil, plainAnswer(r))
		if err != nil {
			return 0, err
		}
		defer e.crash()
	}
	if err := f.start(); err != nil {
		return 0, err
	}
	time.Sleep(3 * time.Second)
	var made connections
	var served, writes, lost atomic.Int64
	stop := time.Now().Add(40 * time.Second)
	var working sync.WaitGroup
	for n := range tryingClients {
		working.Go(func() { made.try(r, f, n, stop, &served) })
	}
	time.Sleep(4 * time.Second)
	if isTrouble {
		loseThird(r, f.store, lostFor, &writes, &lost)
	}
	asks := make([][]ask, len(f.gateways))
	errs := make([]error, len(f.gateways))
	for n, g := range f.gateways {
		working.Go(func() {
			errs[n] = roll(r, g)
			asks[n] = watch(g, stop)
		})
		time.Sleep(1300 * time.Millisecond)
	}
	// The last gateway is back after some 4 s, and the store calm; in touch contact later.
	inTouch := time.Now().Add(5*time.Second + contact)
	working.Wait()
	r.log("the store left %d of %d writes unanswered; %d requests were served", lost.Load(), writes.Load(), served.Load())
	if err := errors.Join(errs...); err != nil {
		return 0, err
	}
	if served.Load() < 500 {
		return 0, fmt.Errorf("only %d requests were served", served.Load())
	}
	broken := 0
	for n, g := range f.gateways {
		broken += made.idleSpans(r, g, asks[n], inTouch)
	}
	return broken, nil
}
