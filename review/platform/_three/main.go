// The stand-ins of the third review: a store, replicas and clients, and the cases that are
// played with them. The replicas are processes of this program.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxTime is how long a case may run.
const maxTime = 110 * time.Second

func main() {
	if len(os.Args) == 3 && os.Args[1] == "replica" {
		runReplica(os.Args[2])
		return
	}
	cases := map[string]func(f *fleet, hasTrouble bool) (bool, error){
		"ends": playEnds, "versions": playVersions, "parts": playParts, "crash": playCrash, "entry": playEntry,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-3 CASE RECORD")
		os.Exit(2)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

// play plays a case on three gateways.
func play(f func(*fleet, bool) (bool, error), file string) int {
	k, err := newRecord(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer k.close()
	all, err := newFleet(k, 3)
	if all != nil {
		defer all.end()
		go func() {
			signals := make(chan os.Signal, 1)
			signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
			select {
			case <-signals:
			case <-time.After(maxTime):
			}
			all.end()
			k.close()
			os.Exit(2)
		}()
	}
	isBroken := false
	if err == nil {
		isBroken, err = f(all, os.Getenv("TROUBLE") != "0")
	}
	if err != nil {
		k.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	verdict := "the rule held"
	code := 0
	if isBroken {
		verdict, code = "the rule was broken", 1
	}
	k.note("%s", verdict)
	fmt.Println(verdict)
	return code
}
