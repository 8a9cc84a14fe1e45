package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"trefoillanding/platform/tlstand"
)

// keyedPayments sends payments that bear an Idempotency-Key and have an empty body, while the
// three busiest of five replicas lose a fifth of the answers of what they ran.
func keyedPayments(w *world, hasTrouble bool) (bool, error) {
	const (
		rate     = 30
		length   = 20 * time.Second
		from, to = 8 * time.Second, 12 * time.Second
		lost     = 0.2
	)
	w.putConfig(tlstand.Config(1))
	var replicas []*replica
	for k := range 5 {
		e, err := w.startReplica(fmt.Sprintf("i-%d", k+1), tlstand.PlainService, fmt.Sprintf("zone-%d", k%3+1), 20*time.Millisecond)
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
	var lostCount atomic.Int64
	// KEY=0 leaves the header out, to show that it makes the difference.
	header := func(id string) map[string]string {
		if os.Getenv("KEY") == "0" {
			return nil
		}
		return map[string]string{"Idempotency-Key": "key-" + id}
	}
	lose := func(e *replica) {
		e.setAfter(func(a http.ResponseWriter, id string) bool {
			if rand.Float64() >= lost {
				return false
			}
			lostCount.Add(1)
			w.note("replica %s has run %s and loses its answer: the connection is reset", e.id, id)
			reset(a)
			return true
		})
	}
	c := w.newClient()
	var sending sync.WaitGroup
	var mu sync.Mutex
	status := map[int]int{}
	var ids []string
	began, isLosing := time.Now(), false
	for k := 0; time.Since(began) < length; k++ {
		now := time.Since(began)
		if hasTrouble && !isLosing && now >= from && now < to {
			isLosing = true
			slices.SortFunc(replicas, func(a, b *replica) int { return b.total() - a.total() })
			for _, e := range replicas[:3] {
				lose(e)
			}
		}
		if isLosing && now >= to {
			isLosing = false
			for _, e := range replicas {
				e.setAfter(nil)
			}
		}
		id := fmt.Sprintf("pay-%04d", k)
		ids = append(ids, id)
		g := w.gateways[k%len(w.gateways)]
		sending.Go(func() {
			o := c.do(g.listen, request{
				id: id, method: http.MethodPost, path: tlstand.AtMostOncePath + "invoices/" + id + "/confirm",
				deadline: 1500 * time.Millisecond, header: header(id),
			})
			mu.Lock()
			status[o.status]++
			mu.Unlock()
		})
		time.Sleep(time.Second / rate)
	}
	sending.Wait()
	twice := 0
	for _, id := range ids {
		n := 0
		for _, e := range replicas {
			n += e.runCount(id)
		}
		if n > 1 {
			twice++
			w.say("BROKEN: %s ran %d times", id, n)
		}
	}
	w.say("%d payments, statuses %v, answers lost %d, ran more than once %d", len(ids), status, lostCount.Load(), twice)
	return twice > 0, nil
}
