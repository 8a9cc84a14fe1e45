package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// playLeaving has a replica leave while the store is down, and one gateway partitioned from
// all replicas meanwhile: it passes on what another gateway gets of the replica.
func playLeaving(f *fleet, hasTrouble bool) (bool, error) {
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
		id string
		at time.Time
	}
	var passed time.Time
	var requests []sent
	until := time.Now().Add(9 * time.Second)
	var w sync.WaitGroup
	for k := range 16 {
		w.Go(func() {
			for n := 0; time.Now().Before(until); n++ {
				id := fmt.Sprintf("c%d-%d", k, n)
				ctx, stop := context.WithTimeout(context.Background(), 4*time.Second)
				g := f.gateways[0]
				r, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.listen+"/pay/"+id, strings.NewReader("abc"))
				if n%2 == 1 {
					r, _ = http.NewRequestWithContext(ctx, http.MethodGet, "http://"+g.listen+"/stock/"+id, nil)
				}
				r.Host = "a.example"
				r.Header.Set("X-Trefoillanding-Attempt-Id", id)
				r.Header.Set("X-Trefoillanding-Deadline-Ms", "4000")
				at := time.Now()
				mu.Lock()
				requests = append(requests, sent{id, at})
				mu.Unlock()
				a, err := http.DefaultTransport.RoundTrip(r)
				if err == nil {
					_, _ = io.Copy(io.Discard, a.Body)
					_ = a.Body.Close()
					f.record.note("client gets %d to %s of %s, Server-Leaving %q, seal %s", a.StatusCode, id, g.name, a.Header.Get("Server-Leaving"), a.Header.Get("X-Trefoillanding-Response-Seal"))
					if a.Header.Get("Server-Leaving") == "1" {
						mu.Lock()
						if passed.IsZero() {
							passed = time.Now()
						}
						mu.Unlock()
					}
				} else {
					f.record.note("client gets no answer to %s: %v", id, err)
				}
				stop()
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	time.Sleep(2 * time.Second)
	if hasTrouble {
		f.record.note("the store is down")
		f.store.setDown(true)
		f.front.cut(true)
		f.record.note("edge-1 is cut off from all replicas")
		time.Sleep(300 * time.Millisecond)
	}
	_, _ = fmt.Fprintln(nodes[0].in, "leave")
	if hasTrouble {
		time.Sleep(3300 * time.Millisecond)
		f.front.cut(false)
		f.record.note("edge-1 reaches the replicas again")
		time.Sleep(900 * time.Millisecond)
		f.store.setDown(false)
		f.record.note("the store is back")
	}
	w.Wait()
	time.Sleep(200 * time.Millisecond)
	mu.Lock()
	defer mu.Unlock()
	late := 0
	for _, q := range requests {
		if !passed.IsZero() && q.at.After(passed.Add(drainTime)) && reached[q.id] == "i-r1" {
			late++
			f.record.note("BROKEN %s, sent %v after edge-1 had passed on Server-Leaving, reached i-r1", q.id, q.at.Sub(passed).Round(time.Millisecond))
		}
	}
	fmt.Println("passed on:", !passed.IsZero(), "late:", late)
	return late > 0, nil
}
