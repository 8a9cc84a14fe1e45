package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"trefoillanding/platform/tlstand"
)

// stream is a caller's stream.
type stream struct {
	id, last string
	at       *gatewayProcess
	sent     time.Duration
	// isBroken says that it broke before its end, and hasGoneOn that its take-up brought an event.
	isDone, isBroken, isTakenUp, hasGoneOn bool
	refusal                                string
}

// read sends a stream's request, or its take-up under another attempt, and reads what comes.
// It reports whether an event came.
func (w *world) read(s *stream, g *gatewayProcess, attempt string) bool {
	ctx, stop := context.WithTimeout(context.Background(), 14*time.Second)
	defer stop()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.listen+tlstand.ResumablePath+"x", io.NopCloser(bytes.NewReader([]byte("prompt"))))
	if err != nil {
		return false
	}
	q.ContentLength, q.Host = 6, tlstand.Host
	h := q.Header
	h.Set("X-Trefoillanding-Attempt-Id", attempt)
	h.Set("X-Trefoillanding-Deadline-Ms", "14000")
	h.Set("X-Trefoillanding-Model", "m")
	h.Set("X-Trefoillanding-Token-Count", "1000,100")
	h.Set("X-Trefoillanding-Prefix-Hash", fmt.Sprintf("aa:500,%x:500", rand.Uint32()))
	if attempt != s.id {
		h.Set("Last-Event-Id", s.last)
		h.Set("Resumes", s.id)
	}
	w.note("client sends %s of %s to %s after %q", attempt, s.id, g.name, h.Get("Last-Event-Id"))
	c := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	a, err := c.Do(q)
	if err != nil {
		s.refusal = err.Error()
		return false
	}
	defer a.Body.Close()
	if a.StatusCode != http.StatusOK {
		b, _ := io.ReadAll(a.Body)
		s.refusal = fmt.Sprintf("%d %s", a.StatusCode, b)
		w.note("client gets %s: %s", attempt, s.refusal)
		return false
	}
	hasEvent := false
	b := bufio.NewScanner(a.Body)
	for b.Scan() {
		if id, ok := strings.CutPrefix(b.Text(), "id: "); ok {
			s.last, hasEvent = id, true
		}
		s.isDone = s.isDone || strings.HasSuffix(b.Text(), " end")
	}
	s.isBroken = !s.isDone
	if s.isBroken {
		w.note("client's %s of %s breaks after event %s", attempt, s.id, s.last)
	} else {
		w.note("client gets %s: 200, whole, last event %s", attempt, s.last)
	}
	return hasEvent
}

// lostOrigins has the store down for 8 s, and kills the process that is the home of the
// model service 2 s before it returns. Clients whose streams broke take them up once all
// other processes have been in touch.
func lostOrigins(w *world, hasTrouble bool) (bool, error) {
	const (
		every   = 70 * time.Millisecond
		downAt  = 6 * time.Second
		copyAt  = 6500 * time.Millisecond
		drillAt = 12500 * time.Millisecond
		killAt  = 12 * time.Second
		backAt  = 14 * time.Second
		startAt = 15500 * time.Millisecond
		takeUp  = 17500 * time.Millisecond
		length  = 21 * time.Second
	)
	config := tlstand.Config(1)
	for k := range config.Routes {
		if r := &config.Routes[k]; r.Kind == "streaming" {
			r.TimeoutMs, r.ObjectiveMs, r.GapObjectiveMs = 14_000, 900, 300
		}
	}
	w.putConfig(config)
	var engines []*engine
	for k := range 6 {
		phase := "decode"
		if k < 2 {
			phase = "prefill"
		}
		e := w.newEngine(fmt.Sprintf("e-%d", k+1), tlstand.ModelService, fmt.Sprintf("zone-%d", k%3+1), phase, "v1")
		e.every = 250 * time.Millisecond
		if err := e.start("v1"); err != nil {
			return false, err
		}
		e.put("ready")
		engines = append(engines, e)
	}
	// The first to start is the oldest, which is the home of each service.
	for k := range 3 {
		if _, err := w.startGateway(fmt.Sprintf("edge-%d", k+1), fmt.Sprintf("zone-%d", k+1)); err != nil {
			return false, err
		}
		if err := w.awaitReady(15 * time.Second); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Second)
	home, others := w.gateways[0], w.gateways[1:]
	var streams []*stream
	var reading sync.WaitGroup
	began := time.Now()
	at := func(d time.Duration, f func()) {
		reading.Go(func() {
			time.Sleep(time.Until(began.Add(d)))
			f()
		})
	}
	// DRILL=1 has the store come back from a copy that is 6 s old, after a moment away, in
	// place of the outage.
	if hasTrouble && os.Getenv("DRILL") == "1" {
		var old tlstand.Copy
		at(copyAt, func() {
			old = w.store.Copy()
			w.note("a copy of the store is made")
		})
		at(drillAt, func() {
			w.note("the store is away for a moment")
			w.store.SetIntercept(func(a http.ResponseWriter, _ *http.Request) bool {
				a.WriteHeader(http.StatusServiceUnavailable)
				return true
			})
			time.Sleep(500 * time.Millisecond)
			w.store.GoBack(old)
			w.store.SetIntercept(nil)
			w.note("the store comes back from the copy")
			w.putConfig(config)
			for _, e := range engines {
				e.put("ready")
			}
		})
	}
	// ONLY=kill and ONLY=store leave one of the two disruptions out.
	only := os.Getenv("ONLY")
	if hasTrouble && only != "kill" && os.Getenv("DRILL") != "1" {
		at(downAt, func() {
			w.note("the store is down")
			w.store.SetIntercept(func(a http.ResponseWriter, _ *http.Request) bool {
				a.WriteHeader(http.StatusServiceUnavailable)
				return true
			})
		})
		at(backAt, func() {
			w.store.SetIntercept(nil)
			w.note("the store is up")
		})
	}
	hasKill := hasTrouble && only != "store"
	if hasKill {
		at(killAt, func() { w.signal(home, syscall.SIGKILL) })
		at(startAt, func() {
			if err := w.launch(home); err != nil {
				w.say("%v", err)
			}
		})
	}
	for n := 0; time.Since(began) < length; n++ {
		now := time.Since(began)
		g := w.gateways[n%3]
		if g == home && hasKill && now >= killAt {
			g = others[n%2]
		}
		s := &stream{id: fmt.Sprintf("s-%04d", n), at: g, sent: now}
		streams = append(streams, s)
		reading.Go(func() {
			begins := w.read(s, g, s.id)
			s.hasGoneOn = begins
			if !s.isBroken || s.last == "" {
				return
			}
			time.Sleep(time.Until(began.Add(takeUp + time.Duration(rand.IntN(1000))*time.Millisecond)))
			if time.Since(began) > s.sent+13*time.Second {
				return
			}
			s.isTakenUp = true
			s.hasGoneOn = w.read(s, others[n%2], s.id+"-again")
		})
		time.Sleep(every)
	}
	reading.Wait()
	taken, goneOn, fresh, begun := 0, 0, 0, 0
	why := map[string]int{}
	for _, s := range streams {
		switch {
		case s.isTakenUp:
			taken++
			if s.hasGoneOn {
				goneOn++
			} else {
				why[refusalReason(s.refusal)]++
			}
		case s.sent >= backAt+3*time.Second:
			fresh++
			if s.hasGoneOn {
				begun++
			}
		}
	}
	isBroken := taken >= 12 && float64(goneOn)/float64(taken) < 0.5*float64(begun)/float64(max(fresh, 1))
	w.say("%d streams; taken up at processes in touch %d, of these gone on %d; new ones meanwhile %d, of these begun %d; refusals %v",
		len(streams), taken, goneOn, fresh, begun, why)
	return isBroken, nil
}

// refusalReason returns the reason in a refusal, without what differs from one to the next.
func refusalReason(text string) string {
	_, rest, ok := strings.Cut(text, `"Reason":"`)
	if !ok {
		return text
	}
	reason, _, _ := strings.Cut(rest, `"`)
	return text[:4] + reason
}
