package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// playCrash has decode replicas, whose streams have neither a length nor chunks, crash one
// after the other. CONTROL=1 has each close its address 50 ms before.
func playCrash(f *fleet, hasTrouble bool) (bool, error) {
	all := []spec{{ID: "i-p1", Phase: "prefill", Version: "v1"}, {ID: "i-p2", Phase: "prefill", Version: "v1"}}
	for n := range 8 {
		all = append(all, spec{ID: fmt.Sprintf("i-d%d", n+1), Phase: "decode", Version: "v1", EventMs: 200, Unframed: true})
	}
	nodes, err := f.start(all)
	if err != nil {
		return false, err
	}
	c := &client{f: f}
	var mu sync.Mutex
	short, complete, cut := 0, 0, 0
	w := load(c, "s", 28, time.Now().Add(30*time.Second), func(int) request {
		return request{in: 1460, out: 240, parts: []string{"5c1e07a2", hex()}}
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
	time.Sleep(3 * time.Second)
	for n := 0; n < 10 && hasTrouble; n++ {
		k := 2 + n%8
		if os.Getenv("CONTROL") == "1" {
			_, _ = fmt.Fprintln(nodes[k].in, "unlisten")
			time.Sleep(50 * time.Millisecond)
		}
		f.record.note("replica %s crashes", nodes[k].ID)
		_ = nodes[k].process.Process.Kill()
		time.Sleep(2500 * time.Millisecond)
		s := nodes[k].spec
		s.ID = fmt.Sprintf("i-e%d", n+1)
		if nodes[k], err = f.startReplica(s); err != nil {
			return false, err
		}
	}
	w.Wait()
	text := fmt.Sprintf("streams that look complete and are: %d; that look complete and are not: %d; that don't look complete: %d", complete, short, cut)
	f.record.note("%s", text)
	fmt.Println(text)
	return short > 0, nil
}
