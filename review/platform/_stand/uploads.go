package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"trefoillanding/platform/tlstand"
)

// memoryKB is what the platform lets a process use: memory_mb of the smallest machines.
const memoryKB = 134 * 1024

// usedKB returns the memory of a process without that of its program file; 0 if it has ended.
func usedKB(pid int) int {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(b), "\n") {
		if v, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			n, _ := strconv.Atoi(strings.Fields(v)[0])
			return n
		}
	}
	return 0
}

// limitMemory kills processes that use more memory than they may, and starts them again,
// as the platform does. It reports the highest use seen, in KB.
func (w *world) limitMemory(isOver *atomic.Bool, kills, peak *atomic.Int64) {
	for !isOver.Load() {
		for _, g := range w.gateways {
			n := usedKB(g.cmd.Process.Pid)
			peak.Store(max(peak.Load(), int64(n)))
			if n <= memoryKB || isOver.Load() {
				continue
			}
			kills.Add(1)
			w.say("process %s uses %d KB of %d: the platform kills it", g.name, n, memoryKB)
			w.signal(g, syscall.SIGKILL)
			<-g.done
			time.Sleep(time.Second)
			if err := w.launch(g); err != nil {
				w.say("%v", err)
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// uploads has clients with kept connections send large bodies, within the limit of the
// configuration; for some seconds there are 2.2 times as many.
func uploads(w *world, hasTrouble bool) (bool, error) {
	const (
		bodyBytes = 4 << 20
		clients   = 18
		crowd     = 40 // 2.2 times as many
		rounds    = 14
		from, to  = 6, 10
	)
	config := tlstand.Config(1)
	config.Limits.BodyBytes = bodyBytes
	w.putConfig(config)
	var mu sync.Mutex
	arrived := map[string]bool{}
	for k := range 5 {
		e, err := w.startReplica(fmt.Sprintf("i-%d", k+1), tlstand.PlainService, fmt.Sprintf("zone-%d", k%3+1), 300*time.Millisecond)
		if err != nil {
			return false, err
		}
		e.onRun = func(id, _, _ string) {
			mu.Lock()
			defer mu.Unlock()
			arrived[id] = true
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
	var isOver atomic.Bool
	var kills, peak atomic.Int64
	var watching sync.WaitGroup
	watching.Go(func() { w.limitMemory(&isOver, &kills, &peak) })
	body := bytes.Repeat([]byte("x"), bodyBytes)
	lost, status := 0, map[string]int{}
	var sending sync.WaitGroup
	for round := range rounds {
		n := clients
		if hasTrouble && round >= from && round < to {
			n = crowd
		}
		w.note("round %d: %d clients at each process", round, n)
		for _, g := range w.gateways {
			for k := range n {
				id := fmt.Sprintf("%s-%02d-%02d", g.name, round, k)
				sending.Go(func() {
					time.Sleep(time.Duration(k) * 5 * time.Millisecond)
					w.note("client sends %s, %d bytes, to %s", id, len(body), g.name)
					line, isKept := upload(g.listen, id, body)
					w.note("client gets %s: %s", id, line)
					mu.Lock()
					defer mu.Unlock()
					status[line]++
					if isKept && line == "closed without an answer" && arrived[id] {
						lost++
						w.say("BROKEN: %s came on a kept connection, was passed on and ran, and its connection was closed without an answer", id)
					}
				})
			}
		}
		time.Sleep(1500 * time.Millisecond)
	}
	sending.Wait()
	isOver.Store(true)
	watching.Wait()
	w.say("answers %v; most memory used %d KB of %d; processes killed %d; passed on and closed without an answer %d", status, peak.Load(), memoryKB, kills.Load(), lost)
	return lost > 3, nil
}

// upload sends a small request and then, on the same connection, a large one. It returns
// what became of the large one, and whether it was sent on a kept connection.
func upload(address, id string, body []byte) (line string, isKept bool) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return "no connection", false
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(6 * time.Second))
	b := bufio.NewReader(c)
	if _, err := sendOn(c, b, id+"-first", []byte("first")); err != nil {
		return "no first answer", false
	}
	status, err := sendOn(c, b, id, body)
	if err != nil {
		return "closed without an answer", true
	}
	return strconv.Itoa(status), true
}

func sendOn(c net.Conn, b *bufio.Reader, id string, body []byte) (int, error) {
	_, err := fmt.Fprintf(c, "POST %sscan HTTP/1.1\r\nHost: %s\r\nX-Trefoillanding-Attempt-Id: %s\r\nX-Trefoillanding-Deadline-Ms: 4000\r\nContent-Length: %d\r\n\r\n",
		tlstand.AtMostOncePath, tlstand.Host, id, len(body))
	if err != nil {
		return 0, err
	}
	if _, err := c.Write(body); err != nil {
		return 0, err
	}
	a, err := http.ReadResponse(b, nil)
	if err != nil {
		return 0, err
	}
	defer a.Body.Close()
	_, err = io.Copy(io.Discard, a.Body)
	return a.StatusCode, err
}
