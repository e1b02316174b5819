// Command review-stand plays one case of the review: it starts the program of the deploy
// file as separate processes on loopback addresses, and stands in for the platform's
// store, the minions, the advising service and the clients.
//
// # Usage
//
//	review-stand CASE DIR
//
// It writes what was sent, answered and run to DIR/record.txt. The exit code is 0 if the
// rule held, 1 if it was broken and 2 if the case could not run. With TROUBLE=0 in the
// environment the disruption is left out.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxDuration bounds a case. It is less than the 120 seconds that a script may take.
const maxDuration = 110 * time.Second

// cases are the scripted cases by name. Each returns a description of how the rule was
// broken, or an empty string.
var cases = map[string]func(*world) (string, error){
	"ends":   caseEnds,
	"route":  caseRoute,
	"grey":   caseGrey,
	"reborn": caseReborn,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-stand CASE DIR")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, dir string) int {
	rec, err := newRecord(filepath.Join(dir, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	w, err := newWorld(rec, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.log("the case could not run: %v", err)
		return exitNotRun
	}
	defer w.close()
	type result struct {
		broken string
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := cases[name](w)
		done <- result{broken, err}
	}()
	select {
	case r := <-done:
		w.logRuns()
		switch {
		case r.err != nil:
			rec.log("the case could not run: %v", r.err)
			return exitNotRun
		case r.broken != "":
			rec.log("BROKEN: %s", r.broken)
			return exitBroken
		}
		rec.log("the rule held")
		return exitHeld
	case <-time.After(maxDuration):
		rec.log("the case could not run: it took longer than %v", maxDuration)
		return exitNotRun
	}
}
