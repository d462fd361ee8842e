// Command wigeoncleat-node runs the node beside a target.
//
// Exit codes: 0 after a graceful stop, 1 on an error, 2 when the settings are rejected, 3 when a graceful stop aborted
// requests.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	klog "github.com/go-kratos/kratos/v2/log"
	"github.com/urfave/cli/v3"

	"github.com/wigeoncleat/wigeoncleat/internal/process/event"
	"github.com/wigeoncleat/wigeoncleat/internal/process/node"
	"github.com/wigeoncleat/wigeoncleat/internal/process/settings"
	"github.com/wigeoncleat/wigeoncleat/internal/version/schema"
)

const (
	exitFailed   = 1
	exitSettings = 2
	exitAborted  = 3
)

func main() {
	app := &cli.Command{
		Name:  "wigeoncleat-node",
		Usage: "run the node beside a target until SIGTERM, then stop gracefully; a second signal stops at once",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Required: true, Usage: "settings `FILE` (INI), see docs/settings.md"},
		},
		Action: run,
	}
	if err := app.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "wigeoncleat-node:", err)
		os.Exit(exitCode(err))
	}
}

func exitCode(err error) int {
	switch {
	case errors.Is(err, settings.ErrRejected):
		return exitSettings
	case errors.Is(err, node.ErrRequestsAborted):
		return exitAborted
	default:
		return exitFailed
	}
}

func run(_ context.Context, c *cli.Command) error {
	s, err := loadSettings(c.String("settings"))
	if err != nil {
		return err
	}
	log := slog.New(slog.NewJSONHandler(os.Stderr, &slog.HandlerOptions{Level: s.LogLevel}))
	slog.SetDefault(log)
	// The HTTP library logs without event numbers. Its errors are returned to the node, which logs them.
	klog.SetLogger(klog.NewStdLogger(io.Discard))
	event.Log(log, event.SettingsRead, slog.String("file", c.String("settings")))

	ctx, abort, stop := signalContexts()
	defer stop()
	return node.Serve(ctx, abort, s, log)
}

func loadSettings(name string) (*settings.Settings, error) {
	body, err := os.ReadFile(name)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	s, findings, err := settings.Load(schema.File{Name: name, Body: body})
	for _, f := range findings {
		fmt.Fprintln(os.Stderr, f)
	}
	return s, err
}

// signalContexts returns a context that ends at the first SIGTERM or SIGINT, which starts the graceful stop, and one that ends
// at the second, which aborts it. The function stop ends both.
func signalContexts() (ctx, abort context.Context, stop func()) {
	ctx, stopGracefully := context.WithCancel(context.Background())
	abort, stopNow := context.WithCancel(context.Background())
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		stopGracefully()
		<-signals
		stopNow()
	}()
	return ctx, abort, func() {
		stopGracefully()
		stopNow()
	}
}
