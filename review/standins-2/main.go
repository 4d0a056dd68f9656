// Command standins plays one case of the review with the real gateway processes. It exits
// with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

var (
	recordMu sync.Mutex
	record   *os.File
	began    = time.Now()
)

// note writes a line to record.txt.
func note(format string, args ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(began).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Println(line)
	if record != nil {
		fmt.Fprintln(record, line)
	}
}

func fatal(format string, args ...any) {
	note("the case could not run: "+format, args...)
	stopAll()
	os.Exit(2)
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standins CASE RECORD TMP")
		os.Exit(2)
	}
	var err error
	if record, err = os.Create(os.Args[2]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	note("case %s, trouble %t", os.Args[1], trouble)
	cases := map[string]func(tmp string, trouble bool) bool{
		"load":    caseLoad,
		"headers": caseHeaders,
		"lapse":   caseLapse,
		"leak":    caseLeak,
	}
	f := cases[os.Args[1]]
	if f == nil {
		fatal("no such case")
	}
	broken := f(os.Args[3], trouble)
	stopAll()
	note("rule broken: %t", broken)
	_ = record.Close()
	if broken {
		os.Exit(1)
	}
}
