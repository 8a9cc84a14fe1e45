package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"trefoillanding/platform/tlstand"
)

// foreignEntry has a replica leave that never reports it: its entry is removed, and it goes
// on serving for some seconds. Another writer puts an entry under its id in which fields are
// missing.
func foreignEntry(w *world, hasTrouble bool) (bool, error) {
	const (
		rate      = 30
		length    = 22 * time.Second
		drainMs   = 2000 * time.Millisecond
		leaveAt   = 7 * time.Second
		writtenAt = 8 * time.Second
		exitAt    = 15 * time.Second
	)
	w.putConfig(tlstand.Config(1))
	var replicas []*replica
	for k := range 5 {
		e, err := w.startReplica(fmt.Sprintf("i-%d", k+1), tlstand.PlainService, fmt.Sprintf("zone-%d", k%3+1), 120*time.Millisecond)
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
	var mu sync.Mutex
	var accepted time.Time
	sentAt := map[string]time.Time{}
	late, lost := 0, 0
	byLeaver := map[string]bool{}
	var leaver *replica
	for _, e := range replicas {
		e.onRun = func(id, _, _ string) {
			mu.Lock()
			defer mu.Unlock()
			if e != leaver || accepted.IsZero() {
				return
			}
			byLeaver[id] = true
			if sentAt[id].After(accepted.Add(drainMs)) {
				late++
				w.say("BROKEN: %s reached %s %.1f s after its entry was removed", id, e.id, time.Since(accepted).Seconds())
			}
		}
	}
	c := w.newClient()
	var sending sync.WaitGroup
	status := map[int]int{}
	began := time.Now()
	isWritten, hasExited := false, false
	n := 0
	for ; time.Since(began) < length; n++ {
		now := time.Since(began)
		if leaver == nil && now >= leaveAt {
			busiest := slices.MaxFunc(replicas, func(a, b *replica) int { return a.total() - b.total() })
			w.store.Put("keyed.servers", busiest.id, nil)
			w.note("replica %s leaves: its entry is removed", busiest.id)
			mu.Lock()
			leaver, accepted = busiest, time.Now()
			mu.Unlock()
		}
		if hasTrouble && !isWritten && now >= writtenAt {
			isWritten = true
			w.store.PutJSON("keyed.servers", leaver.id, map[string]any{"service": leaver.service, "address": leaver.address, "state": "ready"})
			w.note("another writer puts an entry under %s without zone, slots, version, sequence and born", leaver.id)
		}
		if !hasExited && now >= exitAt {
			hasExited = true
			_ = leaver.server.Close()
			w.note("replica %s exits", leaver.id)
		}
		id := fmt.Sprintf("pay-%04d", n)
		g := w.gateways[n%len(w.gateways)]
		mu.Lock()
		sentAt[id] = time.Now()
		mu.Unlock()
		sending.Go(func() {
			o := c.do(g.listen, request{
				id: id, method: http.MethodPost, path: tlstand.AtMostOncePath + "invoices", body: `{"amount":12}`,
				deadline: 1500 * time.Millisecond,
			})
			mu.Lock()
			defer mu.Unlock()
			status[o.status]++
			if byLeaver[id] && o.status != http.StatusOK {
				lost++
				w.say("%s ran at the replica that left, and got %d", id, o.status)
			}
		})
		time.Sleep(time.Second / rate)
	}
	sending.Wait()
	w.say("%d payments, statuses %v, reached the leaving replica too late %d, of these without its answer %d", n, status, late, lost)
	return late > 0, nil
}
