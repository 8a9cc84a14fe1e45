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
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"trefoillanding/platform/tlstand"
)

// stream is a caller's stream over all its tries.
type stream struct {
	id       string
	first    string
	last     string
	versions map[string]bool
	events   []int
	isDone   bool
	tries    []string
	takeUps  int
}

// try sends one attempt of a stream and reads what comes; it returns the status.
func (w *world) try(s *stream, address, attempt string) (status int, retryAfter time.Duration) {
	ctx, stop := context.WithTimeout(context.Background(), 14*time.Second)
	defer stop()
	q, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+tlstand.ResumablePath+"x", io.NopCloser(bytes.NewReader([]byte("prompt"))))
	q.ContentLength = 6
	q.Host = tlstand.Host
	h := q.Header
	h.Set("X-Trefoillanding-Attempt-Id", attempt)
	h.Set("X-Trefoillanding-Deadline-Ms", "14000")
	h.Set("X-Trefoillanding-Model", "m")
	h.Set("X-Trefoillanding-Token-Count", "1000,100")
	h.Set("X-Trefoillanding-Prefix-Hash", "aa:500,"+fmt.Sprintf("%x", rand.Uint32())+":500")
	if s.last != "" {
		h.Set("Last-Event-Id", s.last)
		h.Set("Resumes", s.first)
	}
	w.note("client sends %s as %s to %s after %q", s.id, attempt, address, s.last)
	c := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	a, err := c.Do(q)
	if err != nil {
		w.note("client gets %s: %v", attempt, err)
		return 0, 0
	}
	defer a.Body.Close()
	if a.StatusCode != http.StatusOK {
		t, _ := strconv.ParseFloat(a.Header.Get("Retry-After"), 64)
		b, _ := io.ReadAll(a.Body)
		w.note("client gets %s: %d %s", attempt, a.StatusCode, b)
		return a.StatusCode, time.Duration(t * float64(time.Second))
	}
	b := bufio.NewReader(a.Body)
	id := ""
	for {
		line, err := b.ReadString('\n')
		if err == io.EOF && s.isDone {
			return 200, 0
		}
		if err != nil {
			w.note("client's stream %s of %s breaks after %q: %v", attempt, s.id, s.last, err)
			if err == io.EOF {
				w.say("ENDS EARLY: %s ends as complete after %q", attempt, s.last)
			}
			return 200, 0
		}
		line = strings.TrimSpace(line)
		if v, ok := strings.CutPrefix(line, "id: "); ok {
			id = v
		}
		v, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		f := strings.Fields(v)
		if s.first == "" {
			s.first = attempt
		}
		n, _ := strconv.Atoi(id)
		s.last = id
		s.events = append(s.events, n)
		if !s.versions[f[0]] {
			w.note("stream %s has its event %s of version %s from %s", s.id, id, f[0], f[1])
		}
		s.versions[f[0]] = true
		s.isDone = strings.HasSuffix(v, " end")
	}
}

// chaos is an exploration: many disruptions at once.
func chaos(w *world, hasTrouble bool) (bool, error) {
	w.putConfig(tlstand.Config(1))
	var engines []*engine
	for k := range 8 {
		phase, version := "decode", "v1"
		if k%4 == 0 {
			phase = "prefill"
		}
		if k >= 4 {
			version = "v2"
		}
		e := w.newEngine(fmt.Sprintf("e-%d", k), tlstand.ModelService, fmt.Sprintf("zone-%d", k%3+1), phase, version)
		if err := e.start(version); err != nil {
			return false, err
		}
		e.put("ready")
		engines = append(engines, e)
	}
	for k := range 3 {
		if _, err := w.startGateway(fmt.Sprintf("edge-%d", k+1), fmt.Sprintf("zone-%d", k+1)); err != nil {
			return false, err
		}
	}
	if err := w.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	length := 60 * time.Second
	if v := os.Getenv("LENGTH"); v != "" {
		n, _ := strconv.Atoi(v)
		length = time.Duration(n) * time.Second
	}
	began := time.Now()
	isOver := func() bool { return time.Since(began) > length }
	var storeMu sync.Mutex
	isDown := false
	if hasTrouble {
		go func() {
			for !isOver() {
				time.Sleep(time.Duration(1000+rand.IntN(2000)) * time.Millisecond)
				e := engines[rand.IntN(len(engines))]
				e.crash()
				time.Sleep(time.Duration(200+rand.IntN(1500)) * time.Millisecond)
				v := "v1"
				if rand.IntN(2) == 0 {
					v = "v2"
				}
				if e.start(v) != nil {
					continue
				}
				go func() {
					for {
						time.Sleep(50 * time.Millisecond)
						storeMu.Lock()
						d := isDown
						storeMu.Unlock()
						if !d {
							break
						}
					}
					e.put("ready")
				}()
			}
		}()
		go func() {
			var copied tlstand.Copy
			for !isOver() {
				copied = w.store.Copy()
				time.Sleep(time.Duration(2000+rand.IntN(3000)) * time.Millisecond)
				storeMu.Lock()
				isDown = true
				storeMu.Unlock()
				w.note("store goes down")
				w.store.SetIntercept(func(a http.ResponseWriter, _ *http.Request) bool {
					a.WriteHeader(http.StatusServiceUnavailable)
					return true
				})
				time.Sleep(time.Duration(1000+rand.IntN(4000)) * time.Millisecond)
				if rand.IntN(3) == 0 {
					w.store.GoBack(copied)
					w.note("store goes back")
					w.putConfig(tlstand.Config(1))
					for _, e := range engines {
						e.mu.Lock()
						up := e.isUp
						e.mu.Unlock()
						if up {
							e.put("ready")
						}
					}
				}
				w.store.SetIntercept(nil)
				storeMu.Lock()
				isDown = false
				storeMu.Unlock()
				w.note("store is up")
			}
		}()
		go func() {
			for !isOver() {
				time.Sleep(time.Duration(3000+rand.IntN(3000)) * time.Millisecond)
				g := w.gateways[rand.IntN(len(w.gateways))]
				switch rand.IntN(3) {
				case 0:
					w.signal(g, syscall.SIGKILL)
					<-g.done
					time.Sleep(500 * time.Millisecond)
					_ = w.launch(g)
				case 1:
					w.signal(g, syscall.SIGSTOP)
					time.Sleep(time.Duration(1000+rand.IntN(3000)) * time.Millisecond)
					w.signal(g, syscall.SIGCONT)
				case 2:
					w.signal(g, syscall.SIGTERM)
					<-g.done
					time.Sleep(500 * time.Millisecond)
					_ = w.launch(g)
				}
			}
		}()
	}
	var running sync.WaitGroup
	var mu sync.Mutex
	var all []*stream
	for n := 0; !isOver(); n++ {
		s := &stream{id: fmt.Sprintf("s-%04d", n), versions: map[string]bool{}}
		all = append(all, s)
		running.Go(func() {
			until := time.Now().Add(14 * time.Second)
			for k := 0; !s.isDone && time.Now().Before(until) && k < 12; k++ {
				attempt := fmt.Sprintf("%s-%d", s.id, k)
				if s.last != "" {
					s.takeUps++
				}
				mu.Lock()
				s.tries = append(s.tries, attempt)
				mu.Unlock()
				_, wait := w.try(s, w.gateways[rand.IntN(len(w.gateways))].listen, attempt)
				time.Sleep(max(wait, 150*time.Millisecond))
			}
		})
		time.Sleep(60 * time.Millisecond)
	}
	running.Wait()
	mixed, wrong, done, taken := 0, 0, 0, 0
	for _, s := range all {
		if s.isDone {
			done++
		}
		if s.takeUps > 0 {
			taken++
		}
		if len(s.versions) > 1 {
			mixed++
			w.say("BROKEN: %s holds events of versions %v", s.id, s.versions)
		}
		for k, n := range s.events {
			if n != k+1 {
				wrong++
				w.say("BROKEN: %s has event %d at place %d: %v", s.id, n, k+1, s.events)
				break
			}
		}
	}
	w.say("%d streams, %d complete, %d taken up, of two versions %d, out of order %d", len(all), done, taken, mixed, wrong)
	return mixed > 0 || wrong > 0, nil
}
