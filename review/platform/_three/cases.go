package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"time"
)

// load sends streams at a rate until a time, and hands each to a function.
func load(c *client, name string, rate float64, until time.Time, describe func(n int) request, retries int, took func([]try)) *sync.WaitGroup {
	var w sync.WaitGroup
	w.Go(func() {
		t := time.NewTicker(time.Duration(float64(time.Second) / rate))
		defer t.Stop()
		for n := 0; time.Now().Before(until); n++ {
			q := describe(n)
			q.name = fmt.Sprintf("%s%d", name, n)
			w.Go(func() { took(c.stream(q, retries)) })
			<-t.C
		}
	})
	return &w
}

func hex() string { return fmt.Sprintf("%08x", rand.Uint32()) }

// start starts replicas and waits until all gateways have them.
func (f *fleet) start(all []spec) ([]*node, error) {
	var list []*node
	for _, s := range all {
		if s.Service == "" {
			s.Service = "llm"
		}
		n, err := f.startReplica(s)
		if err != nil {
			return nil, err
		}
		list = append(list, n)
	}
	if err := f.awaitReady(); err != nil {
		return nil, err
	}
	time.Sleep(1500 * time.Millisecond)
	return list, nil
}

// playEnds has two replicas leave, whose streams have neither a length nor chunks; with
// trouble they are gone two seconds after their notice, else once their streams have ended.
func playEnds(f *fleet, hasTrouble bool) (bool, error) {
	all := []spec{{ID: "i-p1", Phase: "prefill", Version: "v1"}, {ID: "i-p2", Phase: "prefill", Version: "v1"}}
	for n := range 4 {
		all = append(all, spec{ID: fmt.Sprintf("i-d%d", n+1), Phase: "decode", Version: "v1", EventMs: 200, Unframed: true})
	}
	nodes, err := f.start(all)
	if err != nil {
		return false, err
	}
	c := &client{f: f}
	var mu sync.Mutex
	short, complete, cut := 0, 0, 0
	until := time.Now().Add(17 * time.Second)
	w := load(c, "s", 5, until, func(int) request {
		return request{in: 1460, out: 160, parts: []string{"5c1e07a2", hex()}}
	}, 1, func(list []try) {
		mu.Lock()
		defer mu.Unlock()
		for _, t := range list {
			switch {
			case t.isShort():
				short++
				f.record.note("BROKEN %s looks complete after %d of its pieces", t.id, len(t.pieces))
			case t.isComplete():
				complete++
			default:
				cut++
			}
		}
	})
	for _, n := range nodes[2:4] {
		time.Sleep(5 * time.Second)
		_, _ = fmt.Fprintln(n.in, "drain")
		wait := 2 * time.Second
		if !hasTrouble {
			wait = 6 * time.Second
		}
		n := n
		time.AfterFunc(wait, func() {
			f.record.note("replica %s is gone", n.ID)
			_ = n.process.Process.Kill()
		})
	}
	w.Wait()
	f.record.note("streams that look complete and are: %d; that look complete and are not: %d; that don't look complete: %d", complete, short, cut)
	fmt.Printf("complete %d, short %d, not complete %d\n", complete, short, cut)
	return short > 0, nil
}

// playVersions has a release half done: of the version before, two replicas read prompts and
// two write answers. With trouble these two crash for good.
func playVersions(f *fleet, hasTrouble bool) (bool, error) {
	all := []spec{{ID: "i-p1", Phase: "prefill", Version: "v1"}, {ID: "i-p2", Phase: "prefill", Version: "v1"}}
	for n := range 10 {
		version := "v2"
		if n < 2 {
			version = "v1"
		}
		all = append(all, spec{ID: fmt.Sprintf("i-d%d", n+1), Phase: "decode", Version: version, EventMs: 200})
	}
	nodes, err := f.start(all)
	if err != nil {
		return false, err
	}
	c := &client{f: f}
	began := time.Now()
	crashAt := began.Add(8 * time.Second)
	var mu sync.Mutex
	takenUp, wentOn, sent, begun, calmSent, calmBegun := 0, 0, 0, 0, 0, 0
	w := load(c, "s", 8, began.Add(24*time.Second), func(int) request {
		return request{in: 1460, out: 240, parts: []string{"5c1e07a2", hex()}}
	}, 3, func(list []try) {
		mu.Lock()
		defer mu.Unlock()
		if list[0].sent.After(crashAt) {
			sent++
			if list[0].hasBegun() {
				begun++
			}
		} else {
			calmSent++
			if list[0].hasBegun() {
				calmBegun++
			}
		}
		isTakenUp, goesOn := false, false
		for _, t := range list {
			isTakenUp = isTakenUp || t.isTakeUp
			goesOn = goesOn || t.isTakeUp && t.hasBegun()
		}
		if isTakenUp {
			takenUp++
		}
		if goesOn {
			wentOn++
		}
	})
	time.Sleep(time.Until(crashAt))
	if hasTrouble {
		for _, n := range nodes[2:4] {
			f.record.note("replica %s crashes", n.ID)
			_ = n.process.Process.Kill()
		}
	}
	w.Wait()
	text := fmt.Sprintf("before: %d of %d new streams begin; after: %d of %d new streams begin, %d of %d that are taken up go on", calmBegun, calmSent, begun, sent, wentOn, takenUp)
	f.record.note("%s", text)
	fmt.Println(text)
	if calmBegun < calmSent/2 {
		return false, fmt.Errorf("most streams don't begin in calm")
	}
	isBroken := takenUp >= 12 && sent > 0 && float64(wentOn)/float64(takenUp) < 0.5*float64(begun)/float64(sent)
	return isBroken, nil
}

// playParts sends requests with a part on which each replica crashes that begins to write an
// answer, beside sound ones with the same first part.
func playParts(f *fleet, hasTrouble bool) (bool, error) {
	const bad, contact = "badbadba", 3 * time.Second
	// EVENTS=0 has replicas crash before the first event of an answer.
	crashEvents := 1
	_, _ = fmt.Sscan(os.Getenv("EVENTS"), &crashEvents)
	var mu sync.Mutex
	next := 20
	var crashes, badRuns []time.Time
	f.onEnd = func(n *node) {
		mu.Lock()
		next++
		s := n.spec
		s.ID = fmt.Sprintf("i-d%d", next)
		crashes = append(crashes, time.Now())
		mu.Unlock()
		time.Sleep(3 * time.Second)
		_, _ = f.startReplica(s)
	}
	f.onLine = func(_ *node, line string) {
		if strings.Contains(line, " runs bad") {
			mu.Lock()
			badRuns = append(badRuns, time.Now())
			mu.Unlock()
		}
	}
	all := []spec{{ID: "i-p1", Phase: "prefill", Version: "v1"}, {ID: "i-p2", Phase: "prefill", Version: "v1"}}
	for n := range 8 {
		all = append(all, spec{ID: fmt.Sprintf("i-d%d", n+1), Phase: "decode", Version: "v1", EventMs: 100, CrashPart: bad, CrashEvents: crashEvents})
	}
	if _, err := f.start(all); err != nil {
		return false, err
	}
	c := &client{f: f}
	began := time.Now()
	badAt, until := began.Add(10*time.Second), began.Add(50*time.Second)
	var firsts []try
	unfinished := 0
	w := load(c, "s", 6, until, func(int) request {
		return request{in: 1460, out: 72, parts: []string{"5c1e07a2", hex(), hex()}}
	}, 1, func(list []try) {
		mu.Lock()
		defer mu.Unlock()
		firsts = append(firsts, list[0])
		if list[0].hasBegun() && !list[len(list)-1].isComplete() {
			unfinished++
		}
	})
	time.Sleep(time.Until(badAt))
	if hasTrouble {
		load(c, "bad", 1, until, func(int) request {
			return request{in: 1460, out: 72, parts: []string{"5c1e07a2", bad, hex()}}
		}, 1, func([]try) {}).Wait()
	}
	w.Wait()
	mu.Lock()
	defer mu.Unlock()
	share := func(from, to time.Time) (begun, sent int) {
		for _, t := range firsts {
			if t.sent.Before(from) || !t.sent.Before(to) {
				continue
			}
			sent++
			if t.hasBegun() {
				begun++
			}
		}
		return begun, sent
	}
	calmBegun, calmSent := share(began, badAt)
	from := badAt.Add(10 * time.Second)
	late := 0
	if len(crashes) >= 5 {
		from = crashes[4].Add(2 * contact)
		for _, t := range badRuns {
			if t.After(crashes[4].Add(contact)) {
				late++
			}
		}
	}
	begun, sent := share(from, until)
	text := fmt.Sprintf("%d crashes; %d runs of requests with the part later than contact_ms after the fifth crash; in calm %d of %d sound requests begin at the first attempt, later %d of %d; %d sound streams begin and are never complete",
		len(crashes), late, calmBegun, calmSent, begun, sent, unfinished)
	f.record.note("%s", text)
	fmt.Println(text)
	return late > 3, nil
}
