// Command wigeonctl is the operators' command line. Each subcommand is in a file of its own and registers itself;
// docs/wigeonctl.md describes them and their exit codes.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/wigeoncleat/wigeoncleat/internal/process/event"
)

// Exit codes. Scripts of operators depend on them, so the meaning of a number must not change.
const (
	exitOK        = 0
	exitFindings  = 1 // findings of severity error
	exitUsage     = 2 // unknown subcommand or flag, or wrong arguments
	exitFailed    = 3 // the command failed, for example because a file cannot be read
	exitRefused   = 4 // the change was refused
	exitUnsettled = 5 // the result of the change is not known yet
)

// exitError is an error with an exit code. An error without an exit code counts as a usage error, because the flag parser
// returns such errors.
type exitError struct {
	code int
	err  error
}

// Error implements error.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *exitError) Unwrap() error { return e.err }

func withExitFailed(err error) error { return &exitError{exitFailed, err} }

const flagJSON = "json"

// commands are the registered subcommands.
var commands []func() *cli.Command

// register adds a subcommand. The init function of the subcommand's file calls it.
func register(c func() *cli.Command) { commands = append(commands, c) }

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, os.Args, os.Stdout, os.Stderr))
}

// run executes the command line and returns the exit code. Results and help go to stdout, everything else goes to
// stderr.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	logger := slog.New(slog.NewTextHandler(stderr, nil))
	app := &cli.Command{
		Name:           "wigeonctl",
		Usage:          "checks, compares and submits policy files and operates nodes",
		Description:    "Exit codes: 0 ok, 1 findings of severity error, 2 usage, 3 failed, 4 change refused, 5 change not settled.",
		Flags:          []cli.Flag{&cli.BoolFlag{Name: flagJSON, Usage: "print the result as one JSON object"}},
		Writer:         stdout,
		ErrWriter:      stderr,
		ExitErrHandler: func(context.Context, *cli.Command, error) {}, // run returns the exit code instead
		OnUsageError:   func(_ context.Context, _ *cli.Command, err error, _ bool) error { return err },
		Action:         missingCommand,
	}
	for _, c := range commands {
		sub := c()
		sub.OnUsageError = app.OnUsageError
		app.Commands = append(app.Commands, sub)
	}
	err := app.Run(ctx, args)
	if err == nil {
		return exitOK
	}
	event.Log(logger, event.CommandFailed, slog.String("error", err.Error()))
	if e := new(exitError); errors.As(err, &e) {
		return e.code
	}
	return exitUsage
}

// missingCommand is the action of a command line without a known subcommand.
func missingCommand(_ context.Context, c *cli.Command) error {
	if c.Args().Present() {
		return fmt.Errorf("unknown command %q; see wigeonctl --help", c.Args().First())
	}
	return errors.New("a command is required; see wigeonctl --help")
}

// printResult writes the result as one JSON object if the flag --json is set, and calls text otherwise.
func printResult(c *cli.Command, result any, text func(w io.Writer)) error {
	w := c.Root().Writer
	if !c.Bool(flagJSON) {
		text(w)
		return nil
	}
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	e.SetEscapeHTML(false)
	if err := e.Encode(result); err != nil {
		return withExitFailed(fmt.Errorf("write result: %w", err))
	}
	return nil
}
