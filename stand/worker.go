package main

import (
	"context"
	"time"

	"go.uber.org/zap"

	"limpethitch.example/core/amount"
	"limpethitch.example/core/clock"
	"limpethitch.example/stand/wrkr"
)

// workerCmd is "stand worker": one or more workers on consecutive ports. With
// --count above 1 the ids are ID-1 to ID-COUNT.
//
//	stand worker --listen 127.0.0.1:9400 --id w [--count 10] [--cpu-milli 32000]
//	    [--memory-mib 65536] [--accelerators 0] [--usage-lag 2s]
type workerCmd struct {
	Listen       string        `help:"Address to listen on; further workers take the following ports." default:"127.0.0.1:9400"`
	ID           string        `help:"Id of the worker, or the prefix of their ids." required:""`
	Count        int           `help:"Number of workers." default:"1"`
	CPUMilli     int64         `name:"cpu-milli" help:"CPU capacity of each worker in thousandths of a processor." default:"32000"`
	MemoryMiB    int64         `name:"memory-mib" help:"Memory capacity of each worker in MiB." default:"65536"`
	Accelerators int64         `help:"Number of accelerators of each worker." default:"0"`
	UsageLag     time.Duration `help:"Age of the reported usage." default:"2s"`
}

// Run serves until ctx ends.
func (c *workerCmd) Run(ctx context.Context, log *zap.Logger) error {
	return serve(ctx, log, c.Listen, c.ID, c.Count, func(id string) server {
		capacity := amount.New(c.CPUMilli, c.MemoryMiB, c.Accelerators, 0)
		return wrkr.New(wrkr.Config{ID: id, Capacity: capacity, UsageLag: c.UsageLag}, clock.New())
	})
}
