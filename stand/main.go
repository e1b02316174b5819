// Command stand runs the stand-ins of the systems around limpethitch, for
// demos and tests. They listen on loopback addresses only.
//
// # Usage
//
//	stand kv      --listen 127.0.0.1:2379
//	stand vms     --listen 127.0.0.1:9300
//	stand worker  --listen 127.0.0.1:9400 --id w --count 10
//	stand backend --listen 127.0.0.1:9500 --id b --service badges --count 10
//
// Each logs one line with its id and address for every listener once it is
// ready. With port 0 the system chooses the port.
package main

import (
	"context"
	"net"
	"os"
	"os/signal"
	"strconv"
	"syscall"

	"github.com/alecthomas/kong"
	"go.uber.org/zap"

	"limpethitch.example/core/logs"
	"limpethitch.example/stand/httpd"
)

type commands struct {
	LogLevel string     `help:"Lowest level of the log." default:"info" env:"STAND_LOG_LEVEL"`
	KV       kvCmd      `cmd:"" help:"The platform's key-value service."`
	VMs      vmsCmd     `cmd:"" name:"vms" help:"The platform's list of VMs."`
	Worker   workerCmd  `cmd:"" help:"Workers."`
	Backend  backendCmd `cmd:"" help:"Backend servers."`
}

func main() {
	var cmds commands
	k := kong.Parse(&cmds, kong.Name("stand"), kong.Description("Stand-ins of the systems around limpethitch."))
	log, err := logs.New(cmds.LogLevel, os.Stderr)
	k.FatalIfErrorf(err)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	k.BindTo(ctx, (*context.Context)(nil))
	if err := k.Run(log); err != nil {
		log.Error("stopped", logs.Err(err)...)
		os.Exit(1)
	}
}

type server interface {
	Serve(ln net.Listener) error
	Close() error
}

// serve runs count servers on consecutive ports until ctx ends or one fails.
// The first of several has the suffix -1.
func serve(ctx context.Context, log *zap.Logger, listen, id string, count int, build func(id string) server) error {
	ended := make(chan error, count)
	var srvs []server
	defer func() {
		for _, s := range srvs {
			_ = s.Close()
		}
	}()
	for i := range count {
		name := id
		if count > 1 {
			name += "-" + strconv.Itoa(i+1)
		}
		addr, err := httpd.OffsetPort(listen, i)
		if err != nil {
			return err
		}
		ln, err := httpd.Listen(addr)
		if err != nil {
			return err
		}
		srv := build(name)
		srvs = append(srvs, srv)
		go func() { ended <- srv.Serve(ln) }()
		log.Info("listening", zap.String("id", name), zap.Stringer("addr", ln.Addr()))
	}
	select {
	case <-ctx.Done():
		return nil
	case err := <-ended:
		return err
	}
}
