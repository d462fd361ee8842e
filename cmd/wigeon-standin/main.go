// Command wigeon-standin runs fakes of the systems that nodes depend on, for tests and trials. Each subcommand is in a file
// of its own and registers itself.
package main

import (
	"context"
	"io"
	"log/slog"
	"os"

	klog "github.com/go-kratos/kratos/v2/log"
	"github.com/urfave/cli/v3"

	"github.com/wigeoncleat/wigeoncleat/internal/process/event"
)

// commands are the registered subcommands.
var commands []*cli.Command

// register adds a subcommand. The init function of the subcommand's file calls it.
func register(c *cli.Command) { commands = append(commands, c) }

func main() {
	slog.SetDefault(slog.New(slog.NewJSONHandler(os.Stderr, nil)))
	// The HTTP library logs without event numbers. Its errors are returned to main, which logs them.
	klog.SetLogger(klog.NewStdLogger(io.Discard))
	app := &cli.Command{
		Name:     "wigeon-standin",
		Usage:    "fakes for tests and trials; never part of a deployment",
		Commands: commands,
	}
	if err := app.Run(context.Background(), os.Args); err != nil {
		event.Log(slog.Default(), event.CommandFailed, slog.String("error", err.Error()))
		os.Exit(1)
	}
}
