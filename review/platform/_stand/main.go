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
	held    = 0
	broken  = 1
	noCase  = 2
	minArgs = 3
)

// cases holds the cases by name; each reports whether the rule was broken.
var cases = map[string]func(w *world, hasTrouble bool) (isBroken bool, err error){
	"doubled-slashes":  doubledSlashes,
	"uploads":          uploads,
	"keyed-payments":   keyedPayments,
	"lost-origins":     lostOrigins,
	"garbled-payments": garbledPayments,
}

func main() {
	if len(os.Args) < minArgs || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE RECORD")
		os.Exit(noCase)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, record string) int {
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
	isBroken, err := cases[name](w, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		w.say("the case could not run: %v", err)
		return noCase
	case isBroken:
		return broken
	}
	return held
}
