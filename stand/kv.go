package main

import (
	"context"

	"go.uber.org/zap"

	"limpethitch.example/core/clock"
	"limpethitch.example/stand/standkv"
)

// kvCmd is "stand kv": the platform's key-value service, in memory only. All keys
// are lost when it exits.
//
//	stand kv --listen 127.0.0.1:2379 [--writes-per-second 300] [--reads-per-second 2000]
type kvCmd struct {
	Listen          string `help:"Address to listen on." default:"127.0.0.1:2379"`
	WritesPerSecond int    `help:"Writes per second above which calls are answered with 429." default:"300"`
	ReadsPerSecond  int    `help:"Reads per second above which calls are answered with 429." default:"2000"`
}

// Run serves until ctx ends.
func (c *kvCmd) Run(ctx context.Context, log *zap.Logger) error {
	return serve(ctx, log, c.Listen, "kv", 1, func(string) server {
		cfg := standkv.Config{WritesPerSecond: c.WritesPerSecond, ReadsPerSecond: c.ReadsPerSecond}
		return standkv.New(cfg, clock.New())
	})
}
