package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"
	"github.com/wigeoncleat/wigeoncleat/internal/standin/target"
)

func init() {
	register(&cli.Command{
		Name:   "target",
		Usage:  "run a fake target until SIGTERM or SIGINT, then drain it; a second signal ends it at once",
		Flags:  targetFlags(),
		Action: runTarget,
	})
}

func targetFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "`ADDRESS` to serve on"},
		&cli.StringFlag{Name: "service", Value: "target", Usage: "`NAME` of the service"},
		&cli.StringFlag{Name: "node", Usage: "`ADDRESS` of the node's loopback interface; without it the target does not announce itself"},
		&cli.IntFlag{Name: "slots", Value: 40, Usage: "requests that run at once"},
		&cli.IntFlag{Name: "connections", Value: 300, Usage: "open connections"},
		&cli.IntFlag{Name: "queue", Usage: "requests that wait for a slot; 0 is no limit"},
		&cli.DurationFlag{Name: "mean", Value: 10 * time.Millisecond, Usage: "mean service time"},
		&cli.DurationFlag{Name: "spread", Usage: "the service time is uniform in mean ± spread"},
		&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the service times"},
		&cli.DurationFlag{Name: "start-delay", Usage: "time in the state \"starting\""},
		&cli.DurationFlag{Name: "cold-for", Usage: "time after the start in which requests take longer"},
		&cli.FloatFlag{Name: "cold-factor", Value: 5, Usage: "factor on the service time when cold"},
		&cli.StringSliceFlag{Name: "call", Usage: "downstream call for each request: `SERVICE/PATH` or METHOD:SERVICE/PATH"},
		&cli.DurationFlag{Name: "report-lag", Usage: "age of what the health and load endpoints report"},
		&cli.BoolFlag{Name: "report-idle", Usage: "the health and load endpoints always report a ready, idle target"},
		&cli.DurationFlag{Name: "announce-every", Value: time.Second, Usage: "time between announcements"},
		&cli.DurationFlag{Name: "lease", Value: 3 * time.Second, Usage: "validity of an announcement"},
		&cli.DurationFlag{Name: "drain-grace", Value: time.Second, Usage: "time between the draining announcement and the end of the listener"},
		&cli.StringFlag{Name: "record", Usage: "`FILE` that gets each execution as a line of JSON when it begins, and again if the target declines it"},
		&cli.DurationFlag{Name: "drain-limit", Value: 30 * time.Second, Usage: "longest wait for running requests when draining"},
	}
}

func runTarget(ctx context.Context, c *cli.Command) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	t, err := target.Start(target.Options{
		Listen: c.String("listen"), Service: c.String("service"), Node: c.String("node"),
		Slots: c.Int("slots"), Connections: c.Int("connections"), Queue: c.Int("queue"),
		Mean: c.Duration("mean"), Spread: c.Duration("spread"), Seed: c.Uint64("seed"),
		StartDelay: c.Duration("start-delay"), ColdFor: c.Duration("cold-for"), ColdFactor: c.Float("cold-factor"),
		Calls: c.StringSlice("call"), ReportLag: c.Duration("report-lag"), ReportIdle: c.Bool("report-idle"),
		AnnounceEvery: c.Duration("announce-every"), Lease: c.Duration("lease"), DrainGrace: c.Duration("drain-grace"),
		RecordFile: c.String("record"),
	})
	if err != nil {
		return err
	}
	fmt.Printf("target of service %s on %s\n", c.String("service"), t.Addr())
	select {
	case <-signals:
	case <-ctx.Done():
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.Duration("drain-limit"))
	defer cancel()
	go func() {
		<-signals
		cancel()
	}()
	return t.Drain(ctx)
}
