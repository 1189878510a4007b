//go:build review

// Command stand plays the cases of the review. It starts gateways and backend servers as
// processes, is the platform and the callers itself, and checks what the callers see.
package main

import (
	"flag"
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by name. A case returns whether the rule was broken.
var cases = map[string]func(w *world) bool{}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "server" {
		runServer(os.Args[2:])
		return
	}
	os.Exit(play())
}

func play() (code int) {
	name := flag.String("case", "", "name of the case")
	record := flag.String("record", "", "file that gets the record")
	flag.Parse()
	run, ok := cases[*name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", *name)
		return exitNotRun
	}
	defer func() {
		if v := recover(); v != nil {
			fmt.Fprintln(os.Stderr, "the case could not run:", v)
			code = exitNotRun
		}
	}()
	w := newWorld(*record)
	defer w.close()
	if run(w) {
		w.note("result: the rule was broken")
		return exitBroken
	}
	w.note("result: the rule held")
	return exitHeld
}
