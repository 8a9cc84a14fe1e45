package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// playEntry has a replica leave without a word: its entry is removed, and it serves on for
// some seconds. With trouble another writer leaves an entry under its id in which most
// fields are missing.
func playEntry(f *fleet, hasTrouble bool) (bool, error) {
	const drainTime = 2 * time.Second
	var mu sync.Mutex
	reached := map[string]string{}
	f.onLine = func(n *node, line string) {
		if p := strings.Fields(line); len(p) == 3 && p[1] == "runs" {
			mu.Lock()
			reached[p[2]] = n.ID
			mu.Unlock()
		}
	}
	var all []spec
	for n := range 6 {
		all = append(all, spec{ID: fmt.Sprintf("i-r%d", n+1), Service: "desk", Version: "v1", EventMs: 60})
	}
	nodes, err := f.start(all)
	if err != nil {
		return false, err
	}
	type sent struct {
		id     string
		at     time.Time
		status int
	}
	var requests []*sent
	c := &client{f: f}
	until := time.Now().Add(12 * time.Second)
	var w sync.WaitGroup
	for k := range 12 {
		w.Go(func() {
			for n := 0; time.Now().Before(until); n++ {
				list := c.addresses()
				if len(list) == 0 {
					time.Sleep(100 * time.Millisecond)
					continue
				}
				q := &sent{id: fmt.Sprintf("c%d-%d", k, n), at: time.Now()}
				ctx, stop := context.WithTimeout(context.Background(), 4*time.Second)
				r, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+list[rand.IntN(len(list))]+"/pay/"+q.id, strings.NewReader("abc"))
				r.Host = "a.example"
				r.Header.Set("X-Trefoillanding-Attempt-Id", q.id)
				r.Header.Set("X-Trefoillanding-Deadline-Ms", "4000")
				mu.Lock()
				requests = append(requests, q)
				mu.Unlock()
				a, err := http.DefaultTransport.RoundTrip(r)
				if err == nil {
					_, _ = io.Copy(io.Discard, a.Body)
					_ = a.Body.Close()
					q.status = a.StatusCode
				}
				f.record.note("client gets %d to %s (%v)", q.status, q.id, err)
				stop()
				time.Sleep(30 * time.Millisecond)
			}
		})
	}
	time.Sleep(2 * time.Second)
	var e struct {
		Address string `json:"address"`
	}
	if err := json.Unmarshal(f.store.newestValue("keyed.servers", "i-r1"), &e); err != nil {
		return false, err
	}
	_, _ = fmt.Fprintln(nodes[0].in, "vanish")
	time.Sleep(500 * time.Millisecond)
	if hasTrouble {
		f.store.put("keyed.servers", "i-r1", []byte(`{"service":"desk","address":"`+e.Address+`","state":"ready"}`))
		f.record.note("another writer leaves an entry under i-r1")
	}
	gone := time.Now().Add(-500 * time.Millisecond)
	w.Wait()
	time.Sleep(200 * time.Millisecond)
	mu.Lock()
	defer mu.Unlock()
	late, failed := 0, 0
	for _, q := range requests {
		// The removal was acknowledged before gone, or a few milliseconds after it.
		if reached[q.id] != "i-r1" || !q.at.After(gone.Add(drainTime+100*time.Millisecond)) {
			continue
		}
		late++
		f.record.note("BROKEN %s, sent %v after the entry was removed, reached i-r1 and got %d", q.id, q.at.Sub(gone).Round(time.Millisecond), q.status)
		if q.status != http.StatusOK {
			failed++
		}
	}
	text := fmt.Sprintf("of %d payments %d reached the replica later than drain_ms after its entry was removed, %d of them got no answer of it", len(requests), late, failed)
	f.record.note("%s", text)
	fmt.Println(text)
	return late > 0, nil
}
