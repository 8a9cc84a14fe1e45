package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
)

// front is the network of one gateway: it reaches each replica through a proxy, whose address
// stands in the entries that it reads, so that it can be partitioned from all replicas.
type front struct {
	address string

	mu      sync.Mutex
	isCut   bool
	proxies map[string]*proxy
}

// proxy passes connections on to a replica.
type proxy struct {
	target, address string
	listener        net.Listener
	open            map[net.Conn]struct{}
}

func newFront(s *store) (*front, error) {
	l, err := net.Listen("tcp", freeAddress())
	if err != nil {
		return nil, err
	}
	f := &front{address: l.Addr().String(), proxies: map[string]*proxy{}}
	go func() { _ = http.Serve(l, s.handler(f.rewrite)) }()
	return f, nil
}

// rewrite replaces the address in a replica's entry by that of its proxy.
func (f *front) rewrite(record []byte) []byte {
	n := int(record[0])
	var e map[string]any
	if json.Unmarshal(record[1+n:], &e) != nil {
		return record
	}
	target, _ := e["address"].(string)
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.proxies[target]
	if p == nil {
		p = &proxy{target: target, address: freeAddress(), open: map[net.Conn]struct{}{}}
		f.proxies[target] = p
		if !f.isCut {
			f.listen(p)
		}
	}
	e["address"] = p.address
	b, _ := json.Marshal(e)
	return keyed(string(record[1:1+n]), b)
}

// listen has a proxy accept connections; f.mu must be held.
func (f *front) listen(p *proxy) {
	l, err := net.Listen("tcp", p.address)
	if err != nil {
		return
	}
	p.listener = l
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go f.pass(p, c)
		}
	}()
}

func (f *front) pass(p *proxy, c net.Conn) {
	t, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(c)
		return
	}
	f.mu.Lock()
	p.open[c], p.open[t] = struct{}{}, struct{}{}
	isCut := f.isCut
	f.mu.Unlock()
	if isCut {
		reset(c)
		reset(t)
	}
	go func() {
		_, _ = io.Copy(t, c)
		_ = t.(*net.TCPConn).CloseWrite()
	}()
	_, _ = io.Copy(c, t)
	_ = c.Close()
	_ = t.Close()
	f.mu.Lock()
	delete(p.open, c)
	delete(p.open, t)
	f.mu.Unlock()
}

func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// cut partitions the gateway from all replicas, or ends that: its connections are reset, and
// new ones are refused.
func (f *front) cut(isCut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isCut = isCut
	for _, p := range f.proxies {
		if !isCut {
			f.listen(p)
			continue
		}
		_ = p.listener.Close()
		for c := range p.open {
			reset(c)
		}
	}
}
