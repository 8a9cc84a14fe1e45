// Command stand plays the cases of this review against processes of the project's own
// program. It exits with 1 if a rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// The exit codes.
const (
	held   = 0
	broken = 1
	noCase = 2
)

// cases holds the cases by name; each reports whether the rule was broken.
var cases = map[string]func(w *world, hasTrouble bool) (isBroken bool, err error){
	"doubled-slashes":  doubledSlashes,
	"uploads":          uploads,
	"keyed-payments":   keyedPayments,
	"lost-origins":     lostOrigins,
	"garbled-payments": garbledPayments,
}

// troubles says which words have the disruption played.
var troubles = map[string]bool{"with": true, "without": false}

func main() {
	hasTrouble, isKnown := false, false
	if len(os.Args) == 4 {
		hasTrouble, isKnown = troubles[os.Args[3]]
	}
	if !isKnown || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE RECORD with|without")
		os.Exit(noCase)
	}
	os.Exit(play(os.Args[1], os.Args[2], hasTrouble))
}

func play(name, record string, hasTrouble bool) int {
	w, err := newWorld(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return noCase
	}
	defer w.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		w.close()
		os.Exit(noCase)
	}()
	if hasTrouble {
		w.note("case %s, with the disruption", name)
	} else {
		w.note("case %s, TROUBLE=0: without the disruption", name)
	}
	isBroken, err := cases[name](w, hasTrouble)
	switch {
	case err != nil:
		w.say("the case could not run: %v", err)
		return noCase
	case isBroken:
		return broken
	}
	return held
}
