package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"trefoillanding/platform"
	"trefoillanding/platform/tlform"
	"trefoillanding/platform/tlstand"
)

// clientPaths are paths as clients send them. Some begin with two slashes, as those that are
// put together from a base address that ends with a slash and a path that begins with one.
var clientPaths = []string{
	"/shop/menu%20du%20jour?for=caf%C3%A9%20bar",
	"//shop/menu%20du%20jour?for=caf%C3%A9%20bar",
	"//shop/menu?for=caf%C3%A9%20bar",
	"//shop/a%2Fb",
	"/shop//a%2Fb",
}

// sendRaw sends a request whose target is not changed by a library; it returns the status.
func sendRaw(g *gateway, target, id string) (int, error) {
	c, err := net.DialTimeout("tcp", g.listen.String(), time.Second)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(3 * time.Second))
	if _, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\n%sX-Trefoillanding-Deadline-Ms: 1500\r\nContent-Length: 2\r\n\r\nok", target, tlstand.Host, tlstand.AttemptIDHeaderLine(id)); err != nil {
		return 0, err
	}
	a, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	defer a.Body.Close()
	_, err = io.Copy(io.Discard, a.Body)
	return a.StatusCode, err
}

// runPaths sends requests before and after the operator adds a route for all paths of a host,
// and counts those that a replica runs with another target than the client's.
func runPaths(r *record, isTrouble bool) (int, error) {
	config := plainConfig()
	f, err := newFleet(3, config)
	if err != nil {
		return 0, err
	}
	defer f.close()
	var mu sync.Mutex
	ran := map[string]string{}
	answer := func(e *engine, c *net.TCPConn, q *http.Request) bool {
		id := tlstand.AttemptID(q.Header)
		r.log("%s runs %s: %s %s", e.id, id, q.Method, q.RequestURI)
		mu.Lock()
		ran[id] = q.RequestURI
		mu.Unlock()
		return writeWhole(c, http.StatusOK, tlstand.AttemptIDHeaderLine(id)+"X-Trefoillanding-Response-Seal: seal-"+id+"\r\n", "ok")
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
	if isTrouble {
		config.Version = 5
		config.Routes = append(config.Routes, tlform.Route{
			Name: "rest", Host: tlstand.Host, PathPrefix: "/", Kind: "non_idempotent", Service: "order-desk",
			MaxAttempts: 1, TimeoutMs: 1500, ObjectiveMs: 300, Priority: 2,
		})
		f.store.PutJSON(platform.TopicConfig, platform.KeyConfig, config)
		r.log("the operator adds a route with the prefix /")
		time.Sleep(4 * time.Second)
	}
	broken, answered := 0, 0
	for n, target := range append([]string{"/pay/a%20b?c=d%20e", "/pay//a%2Fb"}, clientPaths...) {
		for k, g := range f.gateways {
			id := fmt.Sprintf("r%d-%d", n, k)
			status, err := sendRaw(g, target, id)
			mu.Lock()
			got, isRun := ran[id]
			mu.Unlock()
			r.log("client sends %s to %s: %s; status %d, error %v; run with %q", id, g.name, target, status, err, got)
			if status == http.StatusOK {
				answered++
			}
			if isRun && got != target {
				r.log("BROKEN: %s was sent with %s and run with %s", id, target, got)
				broken++
			}
		}
	}
	if answered < 6 {
		return broken, fmt.Errorf("only %d requests were served", answered)
	}
	return broken, nil
}
