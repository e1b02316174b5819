package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// verdict is the result of a case.
type verdict int

const (
	held      verdict = 0
	broken    verdict = 1
	couldNot  verdict = 2
	caseLimit         = 115 * time.Second
)

// cases are the cases by name. Each returns whether the rule was broken and why.
var cases = map[string]func(*world) (verdict, string){
	"transaction": transactionCase,
	"late":        lateCase,
	"gang":        gangCase,
	"trial":       trialCase,
	"connections": connectionsCase,
	"pending":     pendingCase,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: world CASE PROGRAM RECORD")
		os.Exit(int(couldNot))
	}
	w, err := newWorld(os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(int(couldNot))
	}
	type result struct {
		v    verdict
		text string
	}
	results := make(chan result, 1)
	go func() {
		v, text := cases[os.Args[1]](w)
		results <- result{v, text}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	r := result{couldNot, "the case took too long"}
	select {
	case r = <-results:
	case <-signals:
		r.text = "ended by a signal"
	case <-time.After(caseLimit):
	}
	w.close()
	w.rec.printf("verdict %d: %s", r.v, r.text)
	fmt.Printf("%d %s\n", r.v, r.text)
	os.Exit(int(r.v))
}
