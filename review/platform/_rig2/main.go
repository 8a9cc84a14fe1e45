// Command rig2 runs one case of the review: stand-ins of the platform, the replicas and the
// clients, and the project's own program as separate processes. It exits with 1 if the rule
// was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// record is what was sent, answered and run.
type record struct {
	file  *os.File
	began time.Time
	mu    sync.Mutex
}

func (r *record) log(format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, a...))
}

// giveUp ends the gateways and the case after a signal, or where it takes too long.
func giveUp(r *record) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-signals:
	case <-time.After(110 * time.Second):
	}
	r.log("could not run: given up")
	endAll()
	os.Exit(2)
}

// cases has the function of each case; it returns how often the rule was broken.
var cases = map[string]func(r *record, isTrouble bool) (int, error){
	"resumed": runResumed,
	"leaving": runLeaving,
	"limits":  runLimits,
	"crowd":   runCrowd,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE RECORD")
		os.Exit(2)
	}
	f, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	r := &record{file: f, began: time.Now()}
	go giveUp(r)
	isTrouble := os.Getenv("TROUBLE") != "0"
	r.log("case %s, with the disruption: %v", os.Args[1], isTrouble)
	broken, err := cases[os.Args[1]](r, isTrouble)
	if err != nil {
		r.log("could not run: %v", err)
		os.Exit(2)
	}
	r.log("the rule was broken %d times", broken)
	fmt.Printf("broken %d times\n", broken)
	if broken > 0 {
		os.Exit(1)
	}
}
