package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/urfave/cli/v3"

	"github.com/wigeoncleat/wigeoncleat/internal/process/event"
	"github.com/wigeoncleat/wigeoncleat/internal/standin/memory"
	"github.com/wigeoncleat/wigeoncleat/internal/standin/platformserver"
)

// stopTimeout bounds the wait for requests in flight when the fake platform stops.
const stopTimeout = 2 * time.Second

func init() {
	register(&cli.Command{
		Name:  "platform",
		Usage: "the table service and the object store, in memory, with faults switched at " + platformserver.PathFaults,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "address", Value: "127.0.0.1:7000", Usage: "address to listen on; port 0 picks a free port"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			// Signals are handled here and not in main, because the subcommand target needs to see the second signal too.
			ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			return servePlatform(ctx, c.String("address"))
		},
	})
}

// servePlatform serves a fake platform without data until ctx ends.
func servePlatform(ctx context.Context, address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("platform: %w", err)
	}
	// The server has no timeout, so that only the configured faults determine how long a request takes.
	srv := khttp.NewServer(khttp.Listener(l), khttp.Timeout(0), khttp.StrictSlash(false))
	srv.HandlePrefix("/", platformserver.New(memory.New()))
	event.Log(slog.Default(), event.ProcessStarted, slog.String("address", l.Addr().String()))
	defer event.Log(slog.Default(), event.ProcessStopped)

	serving, cancel := context.WithCancel(context.Background())
	defer cancel()
	failed := make(chan error, 1)
	go func() { failed <- srv.Start(serving) }()
	select {
	case err := <-failed:
		return fmt.Errorf("platform: %w", err)
	case <-ctx.Done():
	}
	cancel() // ends requests that hang
	stopping, done := context.WithTimeout(context.Background(), stopTimeout)
	defer done()
	if err := srv.Stop(stopping); err != nil {
		return fmt.Errorf("platform: stop: %w", err)
	}
	if err := <-failed; err != nil && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("platform: %w", err)
	}
	return nil
}
