//go:build review

// Command stand2 plays the cases of the second review that cannot be put as days of the bench. It exits
// with 1 if the rule of the case was broken, 0 if it held, and 2 if the case could not run.
//
//	stand2 CASE RECORD
//
// With TROUBLE=0 in the environment the case is played without its disruption.
package main

import (
	"fmt"
	"os"
	"time"
)

// Exit statuses.
const (
	held   = 0
	broken = 1
	failed = 2
)

// cases holds the cases by name. A case returns whether its rule was broken.
var cases = map[string]func(rec *record, trouble bool) (bool, error){
	"last-answers":      lastAnswers,
	"late-report":       lateReport,
	"unlisted-start":    unlistedStart,
	"restored-versions": restoredVersions,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	const wanted = 2
	if len(args) != wanted || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE RECORD")
		return failed
	}
	f, err := os.Create(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer f.Close()
	rec := &record{w: f, began: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.printf("case %s, disruption %v", args[0], trouble)
	wrong, err := cases[args[0]](rec, trouble)
	switch {
	case err != nil:
		rec.printf("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return failed
	case wrong:
		rec.printf("the rule was broken")
		fmt.Println("broken")
		return broken
	}
	rec.printf("the rule held")
	fmt.Println("held")
	return held
}
