//go:build review

package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by name. Each reports whether its rule was broken; an error means that it could not run.
var cases = map[string]func(w *world) (broken bool, err error){
	"tenants": tenants,
	"takeup":  takeUp,
	"frozen":  frozen,
	"parts":   parts,
	"budget":  budget,
}

func main() { os.Exit(run()) }

// run plays the case that the arguments name, with its record in the folder that they name.
func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand3 CASE FOLDER")
		return exitNotRun
	}
	if _, err := os.Stat(program()); err != nil {
		fmt.Fprintln(os.Stderr, "run from the root of the repository, after the build of the deploy file:", err)
		return exitNotRun
	}
	w, err := newWorld(filepath.Clean(os.Args[2]), os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.close()
	broken, err := cases[os.Args[1]](w)
	switch {
	case err != nil:
		w.record.logf("not run: %v", err)
		fmt.Fprintln(os.Stderr, "not run:", err)
		return exitNotRun
	case broken:
		w.record.logf("the rule was broken")
		fmt.Println("the rule was broken")
		return exitBroken
	}
	w.record.logf("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
