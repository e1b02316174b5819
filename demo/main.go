// Command demo runs a deployment at its stated size on this machine, injects
// faults under load and checks the eleven invariants from the records of the
// stand-ins.
//
// # Usage
//
//	demo --bin bin --examples examples            both deployments, one after the other
//	demo --deployment arequipa --seconds 60
//
// It starts the entry processes and the stand-ins on loopback, ends them by
// their process ids, and exits with 1 when an invariant was violated.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
)

type settings struct {
	Bin        string `help:"Folder with the programs entry and stand." default:"bin" env:"DEMO_BIN"`
	Examples   string `help:"Folder with the deployments." default:"examples" env:"DEMO_EXAMPLES"`
	Deployment string `help:"One deployment, or both." enum:"arequipa,trinidad,both" default:"both" env:"DEMO_DEPLOYMENT"`
	Seconds    int    `help:"Length of the load in seconds, at least 30." default:"34" env:"DEMO_SECONDS"`
	Seed       uint64 `help:"Seed of the load." default:"1" env:"DEMO_SEED"`
	Logs       string `help:"Folder for the processes' logs; empty makes a temporary one." env:"DEMO_LOGS"`
	Faults     bool   `help:"Inject faults." default:"true" negatable:"" env:"DEMO_FAULTS"`
}

func main() {
	var set settings
	kong.Parse(&set, kong.Name("demo"), kong.Description("Runs the example deployments with faults and checks the invariants."))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	violations, err := run(ctx, set)
	stop()
	if err != nil {
		fmt.Fprintf(os.Stderr, "demo: %v\n", err)
		os.Exit(2)
	}
	if violations > 0 {
		fmt.Printf("\n%d violations\n", violations)
		os.Exit(1)
	}
}

func run(ctx context.Context, set settings) (int, error) {
	names := []string{set.Deployment}
	if set.Deployment == "both" {
		names = []string{"arequipa", "trinidad"}
	}
	if set.Seconds < 30 {
		return 0, fmt.Errorf("seconds: %d is below 30, the faults need that long", set.Seconds)
	}
	total := 0
	for _, name := range names {
		n, err := runOne(ctx, set, name)
		if err != nil {
			return total, fmt.Errorf("%s: %w", name, err)
		}
		total += n
	}
	return total, nil
}

func runOne(ctx context.Context, set settings, name string) (int, error) {
	c, err := newCluster(set, name)
	if err != nil {
		return 0, err
	}
	defer c.stop()
	fmt.Printf("== %s: %s\n   logs in %s, seed %d\n", name, c.dep.describe(), c.logs, set.Seed)
	if err := c.start(ctx); err != nil {
		return 0, err
	}
	l := newLoad(c, set.Seed)
	w := newWatch(c)
	lctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go l.caller.Run(lctx)
	go w.run(lctx)
	l.caller.Check()
	length := time.Duration(set.Seconds) * time.Second
	began := time.Now()
	done := make(chan struct{})
	go func() { l.run(lctx, length); close(done) }()
	var f *faults
	if set.Faults {
		f = newFaults(c, l, w, began)
		f.run(lctx)
	}
	<-done
	progress(began, "load ended, waiting for jobs to end")
	l.finish(lctx)
	cancel()
	if err := l.save(filepath.Join(c.logs, "requests.csv")); err != nil {
		return 0, err
	}
	rep, err := c.records()
	if err != nil {
		return 0, err
	}
	return report(c, l, w, f, rep, time.Since(began)), ctx.Err()
}

func progress(began time.Time, format string, args ...any) {
	fmt.Printf("   %5.1f s  %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, args...))
}
