package main

import (
	"context"

	"go.uber.org/zap"

	"limpethitch.example/core/clock"
	"limpethitch.example/stand/bckend"
)

// backendCmd is "stand backend": one or more backend servers on consecutive
// ports. With --count above 1 the ids are ID-1 to ID-COUNT.
//
//	stand backend --listen 127.0.0.1:9500 --id b --service badges [--count 10]
//	    [--slots 8] [--connections 64] [--seed 1]
type backendCmd struct {
	Listen      string `help:"Address to listen on; further servers take the following ports." default:"127.0.0.1:9500"`
	ID          string `help:"Id of the server, or the prefix of their ids." required:""`
	Service     string `help:"Service that the server offers." required:""`
	Count       int    `help:"Number of servers." default:"1"`
	Slots       int    `help:"Maximum number of concurrent requests." default:"8"`
	Connections int    `help:"Maximum number of connections that carry requests." default:"64"`
	Seed        uint64 `help:"Seed for the choice of requests that fail_rate fails." default:"1"`
}

// Run serves until ctx ends.
func (c *backendCmd) Run(ctx context.Context, log *zap.Logger) error {
	return serve(ctx, log, c.Listen, c.ID, c.Count, func(id string) server {
		return bckend.New(bckend.Config{
			ID: id, Service: c.Service, Slots: c.Slots, Connections: c.Connections, Seed: c.Seed,
		}, clock.New())
	})
}
