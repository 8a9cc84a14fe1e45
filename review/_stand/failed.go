package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"trefoillanding/platform/tlstand"
)

// failedPayments sends payments while one of seven replicas, whose health is good, fails
// some of those that it runs with a 503 of its own, which does not say that they have not run.
func failedPayments(w *world, hasTrouble bool) (bool, error) {
	const (
		rate     = 30
		length   = 20 * time.Second
		from, to = 7 * time.Second, 13 * time.Second
		share    = 0.4
	)
	w.putConfig(tlstand.Config(1))
	var replicas []*replica
	for k := range 7 {
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
	var failed atomic.Int64
	fail := func(e *replica) {
		e.setAfter(func(a http.ResponseWriter, id string) bool {
			if rand.Float64() >= share {
				return false
			}
			failed.Add(1)
			w.note("replica %s has run %s and fails it with 503, without X-Trefoillanding-Not-Executed", e.id, id)
			a.Header().Set("X-Trefoillanding-Response-Seal", "seal-"+e.id+"-"+id)
			a.WriteHeader(http.StatusServiceUnavailable)
			fmt.Fprint(a, "the bank did not confirm")
			return true
		})
	}
	runs := func(id string) int {
		n := 0
		for _, e := range replicas {
			n += e.runCount(id)
		}
		return n
	}
	c := w.newClient()
	var sending sync.WaitGroup
	var mu sync.Mutex
	status := map[int]int{}
	untrue, paidTwice := 0, 0
	began, isFailing := time.Now(), false
	n := 0
	for ; time.Since(began) < length; n++ {
		now := time.Since(began)
		if hasTrouble && !isFailing && now >= from && now < to {
			isFailing = true
			slices.SortFunc(replicas, func(a, b *replica) int { return b.total() - a.total() })
			fail(replicas[0])
		}
		if isFailing && now >= to {
			isFailing = false
			replicas[0].setAfter(nil)
		}
		id := fmt.Sprintf("pay-%04d", n)
		g := w.gateways[n%len(w.gateways)]
		sending.Go(func() {
			pay := func(id string) outcome {
				return c.do(g.listen, request{
					id: id, method: http.MethodPost, path: tlstand.AtMostOncePath + "invoices", body: `{"amount":12}`,
					deadline: 1500 * time.Millisecond,
				})
			}
			o := pay(id)
			isPromise := o.status == http.StatusServiceUnavailable || o.status == http.StatusTooManyRequests
			mu.Lock()
			status[o.status]++
			isUntrue := isPromise && runs(id) > 0
			if isUntrue {
				untrue++
				w.say("BROKEN: %s was answered %d, which promises that it has not run, and has run", id, o.status)
			}
			mu.Unlock()
			if !isPromise {
				return
			}
			// Clients retry after a promise, with an attempt id of its own.
			time.Sleep(100 * time.Millisecond)
			if again := pay(id + "-again"); isUntrue && again.status == http.StatusOK {
				mu.Lock()
				paidTwice++
				mu.Unlock()
			}
		})
		time.Sleep(time.Second / rate)
	}
	sending.Wait()
	w.say("%d payments, statuses %v, failed by a replica %d, untrue promises %d, of these run again on the client's retry %d",
		n, status, failed.Load(), untrue, paidTwice)
	return untrue > 0, nil
}
