// Command wigeoncleat-sidecar runs the node beside a target on VMs where requests are forwarded transparently.
//
// Exit codes: 0 after a graceful stop, 1 on an error, 2 when the settings are rejected.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	klog "github.com/go-kratos/kratos/v2/log"
	"github.com/urfave/cli/v3"

	"github.com/wigeoncleat/wigeoncleat/internal/process/event"
	"github.com/wigeoncleat/wigeoncleat/internal/process/logsink"
	"github.com/wigeoncleat/wigeoncleat/internal/process/sidecar"
	"github.com/wigeoncleat/wigeoncleat/platform"
)

const (
	exitFailed   = 1
	exitSettings = 2
)

func main() {
	in := make(chan os.Signal, 4)
	signal.Notify(in, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP) // first of all: until then SIGHUP ends the process
	app := &cli.Command{
		Name:  "wigeoncleat-sidecar",
		Usage: "run the node beside a target until SIGTERM, then stop gracefully; SIGHUP reads the settings again",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name: "settings", Sources: cli.EnvVars(platform.SettingsVariable),
				Usage: "settings `FILE` (TOML), see docs/deployment.md",
			},
			&cli.StringFlag{
				Name:  "peer-listen",
				Usage: "listen at `ADDRESS` for other nodes, who reach it through a forwarder at the address of the settings",
			},
			&cli.StringFlag{Name: "log-level", Value: "info", Usage: "lowest `LEVEL` that is logged: debug, info, warn or error"},
		},
		Action: func(_ context.Context, c *cli.Command) error { return run(c, in) },
		Commands: []*cli.Command{{
			Name: "check", ArgsUsage: "FILE", Action: check,
			Usage: "name every fault of a settings file and start nothing",
		}},
	}
	if err := app.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "wigeoncleat-sidecar:", err)
		if errors.Is(err, platform.ErrSettings) {
			os.Exit(exitSettings)
		}
		os.Exit(exitFailed)
	}
}

// check validates a settings file. Its error names every fault, one per line.
func check(_ context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return errors.New("check takes exactly one settings file")
	}
	if _, err := platform.LoadSettings(c.Args().First()); err != nil {
		return err
	}
	_, err := fmt.Fprintln(c.Root().Writer, "the settings can be used")
	return err
}

func run(c *cli.Command, in <-chan os.Signal) error {
	path := c.String("settings")
	if path == "" {
		return fmt.Errorf("%w: no settings file given; use --settings or %s", platform.ErrSettings, platform.SettingsVariable)
	}
	settings, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	settings.PeerListen = c.String("peer-listen")
	var level slog.Level
	if err := level.UnmarshalText([]byte(c.String("log-level"))); err != nil {
		return fmt.Errorf("log level: %w", err)
	}
	sink := logsink.New(os.Stdout)
	defer sink.Close()
	log := slog.New(slog.NewJSONHandler(sink, &slog.HandlerOptions{Level: level}))
	slog.SetDefault(log)
	// The HTTP library logs without event numbers. Its errors are returned to the process, which logs them.
	klog.SetLogger(klog.NewStdLogger(io.Discard))
	event.Log(log, event.SettingsRead, slog.String("file", path))
	if settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(sidecar.CollectorLimit(settings.MemoryBytes))
	}
	s, err := assemble(settings, path, log)
	if err != nil {
		return err
	}
	return s.Run(sidecar.Handlers{
		Readiness: platform.ReadyHandler(s.Ready),
		Reports:   platform.ReportHandler(s),
	}, signals(in))
}

func assemble(settings sidecar.Settings, path string, log *slog.Logger) (*sidecar.Sidecar, error) {
	nodes, err := platform.NewNodesTable(settings.StoreURL, sidecar.StoreTimeout)
	if err != nil {
		return nil, err
	}
	operator, err := platform.NewOperatorTable(settings.StoreURL, sidecar.StoreTimeout)
	if err != nil {
		return nil, err
	}
	return sidecar.New(sidecar.Options{
		Settings:     settings,
		Log:          log,
		Codec:        platform.Codec{},
		Nodes:        nodes,
		Operator:     operator,
		ConfigKey:    platform.ConfigKey,
		DecodeConfig: platform.DecodeConfig,

		CheckPeerAddress: platform.CheckPeerAddress,
		Reload: func() (sidecar.Settings, error) {
			next, err := platform.LoadSettings(path)
			next.PeerListen = settings.PeerListen
			return next, err
		},
	})
}

// signals maps SIGTERM and SIGINT to the channel Stop, which is closed at the first of them, and SIGHUP to the channel Reload.
func signals(in <-chan os.Signal) sidecar.Signals {
	stop, reload := make(chan struct{}), make(chan struct{}, 1)
	go func() {
		stopping := false
		for s := range in {
			switch {
			case s == syscall.SIGHUP:
				select {
				case reload <- struct{}{}:
				default: // a reload is already pending
				}
			case !stopping:
				stopping = true
				close(stop)
			}
		}
	}()
	return sidecar.Signals{Stop: stop, Reload: reload}
}
