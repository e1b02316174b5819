package main

import (
	"context"
	"time"

	"go.uber.org/zap"

	"limpethitch.example/core/clock"
	"limpethitch.example/stand/vmlist"
)

// vmsCmd is "stand vms": the platform's list of VMs. Each change becomes visible
// after the lag.
//
//	stand vms --listen 127.0.0.1:9300 [--lag 2s]
type vmsCmd struct {
	Listen string        `help:"Address to listen on." default:"127.0.0.1:9300"`
	Lag    time.Duration `help:"Delay until a change becomes visible in the list." default:"2s"`
}

// Run serves until ctx ends.
func (c *vmsCmd) Run(ctx context.Context, log *zap.Logger) error {
	return serve(ctx, log, c.Listen, "vms", 1, func(string) server {
		return vmlist.New(vmlist.Config{Lag: c.Lag}, clock.New())
	})
}
