// Command standins runs the scripts of the review: it starts gateways as separate processes
// with the command of deploy/system.toml, and stands in for the platform's store, for the
// backend servers and for the callers. All addresses are loopback addresses.
//
// It exits with 0 if the rule held, with 1 if it was broken, and with 2 if the case could
// not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxTime bounds a script.
const maxTime = 110 * time.Second

// cases holds the scripts by name.
var cases = map[string]func(rec *recorder, dir string, trouble bool) (bool, error){
	"revoke":  runRevoke,
	"version": runVersion,
	"odd":     runOdd,
	"leave":   runLeave,
}

func main() { os.Exit(runCase()) }

func runCase() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins CASE RECORD")
		return 2
	}
	rec, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	dir, err := os.MkdirTemp("", "pomeloweir-review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = os.RemoveAll(dir) }()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.logf("start     case %s, trouble %t", os.Args[1], trouble)
	type outcome struct {
		held bool
		err  error
	}
	done := make(chan outcome, 1)
	go func() {
		held, err := cases[os.Args[1]](rec, dir, trouble)
		done <- outcome{held: held, err: err}
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	var o outcome
	select {
	case o = <-done:
	case <-time.After(maxTime):
		o.err = fmt.Errorf("not finished after %s", maxTime)
	case s := <-interrupted:
		o.err = fmt.Errorf("interrupted by %s", s)
	}
	stopAll()
	switch {
	case o.err != nil:
		rec.logf("end       could not run: %v", o.err)
		return 2
	case !o.held:
		rec.logf("end       the rule was broken")
		return 1
	default:
		rec.logf("end       the rule held")
		return 0
	}
}
