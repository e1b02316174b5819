// Command demo runs a deployment at its full size on one machine, injects faults
// under load and checks the eleven invariants against the records of the stand-ins.
//
// # Usage
//
//	demo --bin bin --examples examples            both deployments, one after the other
//	demo --deployment arequipa --seconds 60
//
// It starts the entry processes and the stand-ins on loopback addresses, kills them
// by process id at the end, and exits with 1 if an invariant was violated.
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
	Seconds    int    `help:"Duration of the load in seconds, at least 30." default:"34" env:"DEMO_SECONDS"`
	Seed       uint64 `help:"Seed of the generated load." default:"1" env:"DEMO_SEED"`
	Logs       string `help:"Folder for the logs of the processes (default: a new temporary folder)." env:"DEMO_LOGS"`
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
		return 0, fmt.Errorf("seconds: %d is less than 30, which the schedule of faults needs", set.Seconds)
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
	defer c.killAll()
	fmt.Printf("== %s: %s\n   logs in %s, seed %d\n", name, c.deployment.describe(), c.logs, set.Seed)
	if err := c.start(ctx); err != nil {
		return 0, err
	}
	l := newLoad(c, set.Seed)
	w := newMonitor(c)
	loadCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go l.caller.Run(loadCtx)
	go w.run(loadCtx)
	l.caller.Check()
	length := time.Duration(set.Seconds) * time.Second
	start := time.Now()
	done := make(chan struct{})
	go func() { l.run(loadCtx, length); close(done) }()
	var f *faults
	if set.Faults {
		f = newFaults(c, l, w, start)
		f.run(loadCtx)
	}
	<-done
	progress(start, "load ended, waiting for jobs to end")
	l.waitJobs(loadCtx)
	cancel()
	if err := l.saveResults(filepath.Join(c.logs, "requests.csv")); err != nil {
		return 0, err
	}
	rep, err := c.collectRecords()
	if err != nil {
		return 0, err
	}
	return report(c, l, w, f, rep, time.Since(start)), ctx.Err()
}

func progress(start time.Time, format string, args ...any) {
	fmt.Printf("   %5.1f s  %s\n", time.Since(start).Seconds(), fmt.Sprintf(format, args...))
}
