package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"trefoillanding/platform/tlform"
	"trefoillanding/platform/tlstand"
)

// doubledSlashes sends requests whose paths begin with two slashes, as clients do that join
// a base address and a path. The operator adds a route for all paths of their host meanwhile.
func doubledSlashes(w *world, hasTrouble bool) (bool, error) {
	const (
		count  = 120
		change = 40
	)
	config := tlstand.Config(1)
	w.putConfig(config)
	var mu sync.Mutex
	ran := map[string]string{}
	for k := range 3 {
		e, err := w.startReplica(fmt.Sprintf("i-%d", k+1), tlstand.PlainService, fmt.Sprintf("zone-%d", k+1), 10*time.Millisecond)
		if err != nil {
			return false, err
		}
		e.onRun = func(id, method, target string) {
			mu.Lock()
			defer mu.Unlock()
			ran[id] = method + " " + target
			w.note("replica %s runs %s as %s %s", e.id, id, method, target)
		}
	}
	for k := range 3 {
		if _, err := w.startGateway(fmt.Sprintf("edge-%d", k+1), fmt.Sprintf("zone-%d", k+1)); err != nil {
			return false, err
		}
	}
	if err := w.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	targets := []string{
		"//invoices/2026%2F12/confirm?note=a%2Fb",
		"//invoices/2026/confirm",
		"/invoices/2026%2F12/confirm?note=a%2Fb",
		"//invoices/%7Ekiosk/confirm",
	}
	sent, status := map[string]string{}, map[string]int{}
	for k := range count {
		if k == change && hasTrouble {
			config.Version = 2
			config.Routes = append(config.Routes, tlform.Route{
				Name: "all", Host: tlstand.Host, PathPrefix: "/", Kind: "non_idempotent",
				Service: tlstand.PlainService, MaxAttempts: 1, TimeoutMs: 4000, ObjectiveMs: 1000,
			})
			w.putConfig(config)
		}
		id, target := fmt.Sprintf("pay-%04d", k), targets[k%len(targets)]
		sent[id] = "POST " + target
		line, err := postRaw(w.gateways[k%len(w.gateways)].listen, target, id)
		if err != nil {
			line = err.Error()
		}
		w.note("client sends %s as POST %s and gets %s", id, target, line)
		status[line]++
		time.Sleep(100 * time.Millisecond)
	}
	changed := 0
	mu.Lock()
	defer mu.Unlock()
	for k := range count {
		id := fmt.Sprintf("pay-%04d", k)
		if r, ok := ran[id]; ok && r != sent[id] {
			changed++
			w.say("BROKEN: %s was sent as %s and ran as %s", id, sent[id], r)
		}
	}
	w.say("%d requests, answers %v, ran %d, ran with another path or query %d", count, status, len(ran), changed)
	return changed > 0, nil
}

// postRaw sends a request whose target goes out byte by byte as it is, and returns the
// first line of the answer.
func postRaw(address, target, id string) (string, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return "", err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(3 * time.Second))
	_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Trefoillanding-Attempt-Id: %s\r\nX-Trefoillanding-Deadline-Ms: 1500\r\nContent-Length: 3\r\nConnection: close\r\n\r\npay",
		target, tlstand.Host, id)
	if err != nil {
		return "", err
	}
	b := bufio.NewReader(c)
	line, err := b.ReadString('\n')
	_, _ = io.Copy(io.Discard, b)
	return strings.TrimSpace(line), err
}
