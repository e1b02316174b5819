// Command stand3 plays the cases of the third review. It runs the system's program as separate processes
// against stand-ins for the platform's store, its machines, minions and clients.
//
// # Usage
//
//	stand3 CASE RECORD
//
// CASE is the name of a case, RECORD the file for what was sent, answered and run. It exits with 1 if the
// rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// longestCase is how long a case may take.
const longestCase = 110 * time.Second

// cases are the cases by name. Each returns whether the rule held.
var cases = map[string]func(w *world, trouble bool) bool{
	"crash-in-wave": crashInWave,
	"late-ack":      lateAck,
	"late-post":     latePost,
	"early-crash":   earlyCrash,
	"fresh-tasks":   freshTasks,
	"new-machine":   newMachine,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand3 CASE RECORD")
		os.Exit(2)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

// play plays a case and returns the exit code.
func play(f func(w *world, trouble bool) bool, recordPath string, trouble bool) (code int) {
	w, err := newWorld(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, "stand3:", err)
		return 2
	}
	defer w.close()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-stopped:
		case <-time.After(longestCase):
		}
		w.rec.line("the case could not run: it was stopped or took more than %v", longestCase)
		w.close()
		os.Exit(2)
	}()
	defer func() {
		if r := recover(); r != nil {
			why, expected := r.(couldNotRun)
			if !expected {
				panic(r)
			}
			w.rec.line("the case could not run: %s", string(why))
			fmt.Fprintln(os.Stderr, "stand3: the case could not run:", string(why))
			code = 2
		}
	}()
	if f(w, trouble) {
		w.rec.line("the rule held")
		return 0
	}
	w.rec.line("the rule was broken")
	return 1
}
