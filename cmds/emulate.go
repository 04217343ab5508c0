package cmds

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"burdocklift/emul"
)

// emulateCommand groups the stand-ins for outside systems.
type emulateCommand struct {
	Platform emulatePlatformCommand `cmd:"" help:"Stand-in of the platform's key-value service."`
	Target   emulateTargetCommand   `cmd:"" help:"Stand-in of a target."`
	Run      experimentCommand      `cmd:"" help:"Run an experiment: hosts, load and faults over time."`
}

type emulatePlatformCommand struct {
	Listen string `help:"IP address and port." default:"127.0.0.1:8500"`
}

func (*emulatePlatformCommand) Help() string {
	return `Serves an in-memory key-value store over the subset of the Consul HTTP API that
nodes use. PUT /emul/faults switches faults on, GET /emul/calls counts calls.

Example:
  burdocklift emulate platform --listen 127.0.0.1:8500`
}

func (c *emulatePlatformCommand) Run(e *environment) error {
	return serveUntil(e, c.Listen, emul.NewPlatform(&emul.KV{}))
}

type emulateTargetCommand struct {
	Listen       string        `help:"IP address and port." default:"127.0.0.1:9000"`
	Node         string        `help:"Peer address of the node on this host." required:""`
	Service      string        `help:"Service that the target serves." required:""`
	Slots        int           `help:"Requests that run at the same time." default:"12"`
	Connections  int           `help:"Connections that the target accepts." default:"110"`
	ChecksGrants bool          `help:"Refuse requests with an old or ended grant."`
	Work         time.Duration `help:"Mean service time of a request." default:"2ms"`
	Cold         time.Duration `help:"Time after the start during which requests take five times as long." default:"0s"`
	Shed         int           `help:"Number of waiting requests from which on new ones are refused; 0 means never." default:"0"`
	ReportLag    time.Duration `help:"Age of the reported load." default:"0s"`
	ReportFactor float64       `help:"Factor of the reported load." default:"1"`
	Misleads     bool          `help:"Report a frozen or draining target as healthy."`
	Crash        time.Duration `help:"Time away after a crash." default:"1s"`
	Seed         uint64        `help:"Seed of the service times." default:"1"`
}

func (*emulateTargetCommand) Help() string {
	return `Runs a target that counts the requests of each key and announces itself to the
node on its host. A request with "poison-pill" in its path or body crashes it.
GET /emul/journal lists what ran.

Example:
  burdocklift emulate target --service permit --node 127.0.0.1:7101`
}

func (c *emulateTargetCommand) Run(e *environment) error {
	t := emul.NewTarget(emul.TargetConfig{
		Service: c.Service, Slots: c.Slots, Connections: c.Connections,
		ChecksGrants: c.ChecksGrants, Work: c.Work, Seed: c.Seed,
		Cold: c.Cold, Shed: c.Shed, ReportLag: c.ReportLag, ReportFactor: c.ReportFactor,
		Misleads: c.Misleads, Crash: c.Crash,
	})
	s, err := emul.Serve(t, c.Listen)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(e.stdout, "listening on %s\n", s.Address())
	err = t.Announce(e.ctx, c.Node, s.Address())
	// The node was told that the target leaves; requests in flight end now.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(e.ctx), shutdownTimeout)
	defer cancel()
	return errors.Join(err, s.Shutdown(ctx))
}

// shutdownTimeout bounds the wait for requests in flight.
const shutdownTimeout = 10 * time.Second

// serveUntil serves a handler until the command's context ends.
func serveUntil(e *environment, address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", address, err)
	}
	_, _ = fmt.Fprintf(e.stdout, "listening on %s\n", l.Addr())
	// Waiting watches end with the command, not with the time limit of Shutdown.
	s := &http.Server{
		Handler: h, ReadHeaderTimeout: 5 * time.Second,
		BaseContext: func(net.Listener) context.Context { return e.ctx },
	}
	served := make(chan error, 1)
	go func() { served <- s.Serve(l) }()
	select {
	case err := <-served:
		return err
	case <-e.ctx.Done():
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(e.ctx), shutdownTimeout)
	defer cancel()
	return s.Shutdown(ctx)
}
