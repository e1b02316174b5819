// Command entry runs an entry VM of limpethitch: the HTTP API for callers and
// operators, and the scheduler of the shards that the VM owns.
//
// # Usage
//
//	entry --name e1 --data-centre dc1 --listen 10.0.1.5:8080 --peer 10.0.1.5:7100 \
//	    --store http://10.0.1.1:2379 --vms http://10.0.1.1:9300/vms \
//	    --secret @/run/limpet/secret --approvers ana=BASE64 --token @/run/limpet/token
//
// Every flag can also be set by an environment variable, such as LIMPET_NAME. SIGTERM
// and SIGINT start a graceful shutdown: the readiness check fails, the shards are
// handed over to other VMs, and requests in flight are completed.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"limpethitch.example/core/clock"
	"limpethitch.example/core/logs"
	"limpethitch.example/core/rcode"
	"limpethitch.example/entry/serve"
)

func main() {
	var cfg serve.Config
	kong.Parse(&cfg, kong.Name("entry"), kong.Description("Runs one entry VM of limpethitch."))
	if err := run(cfg); err != nil {
		fmt.Fprintf(os.Stderr, "entry: %s: %v\n", rcode.Of(err), err)
		os.Exit(1)
	}
}

func run(cfg serve.Config) error {
	log, err := logs.New(cfg.Level, os.Stderr)
	if err != nil {
		return err
	}
	vm, err := serve.New(cfg, clock.New(), log)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return vm.Run(ctx)
}
