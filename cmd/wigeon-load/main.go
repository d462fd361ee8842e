// Command wigeon-load sends requests to the nodes of a site at a fixed rate, regardless of how fast they are answered, and
// prints goodput, outcomes and latencies.
//
// Exit codes:
//
//	0  the run ended, and at least one request was answered
//	1  the run ended, and no request was answered
//	2  the arguments are invalid, an address is not a loopback address and --allow-remote is not set, or the report cannot
//	   be written
//	3  the run was interrupted; the report covers the requests up to then
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"
	"github.com/wigeoncleat/wigeoncleat/client"
)

const (
	exitAnswered    = 0
	exitNoAnswer    = 1
	exitArguments   = 2
	exitInterrupted = 3
)

const (
	// Callers with --impatient give up on an attempt after the timeout divided by impatientTimeoutDivisor and make up to
	// impatientAttempts attempts.
	impatientTimeoutDivisor = 4
	impatientAttempts       = 10
)

func main() { os.Exit(run(context.Background(), os.Args, os.Stdout, os.Stderr)) }

func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	code := exitArguments
	cmd := &cli.Command{
		Name: "wigeon-load", Usage: "send requests at a fixed rate and print goodput, outcomes and latencies",
		Flags: flags(), Writer: stdout, ErrWriter: stderr, DisableSliceFlagSeparator: true,
		Action: func(ctx context.Context, c *cli.Command) error {
			l, err := newLoad(c)
			if err != nil {
				return err
			}
			r := l.run(ctx)
			code = exitCode(ctx, r)
			if c.Bool("json") {
				return json.NewEncoder(stdout).Encode(r)
			}
			return r.print(stdout)
		},
	}
	if err := cmd.Run(ctx, args); err != nil {
		fmt.Fprintln(stderr, "wigeon-load:", err)
		return exitArguments
	}
	return code
}

func exitCode(ctx context.Context, r *report) int {
	switch {
	case ctx.Err() != nil:
		return exitInterrupted
	case r.Outcomes[outcomeGood]+r.Outcomes[outcomeError] == 0:
		return exitNoAnswer
	default:
		return exitAnswered
	}
}

func flags() []cli.Flag {
	return []cli.Flag{
		&cli.StringSliceFlag{Name: "entry", Required: true, Usage: "entry nodes of an availability zone, `ZONE=HOST:PORT,HOST:PORT`; repeat it for more zones, the nearest first"},
		&cli.StringFlag{Name: "mix", Value: "menu:GET:/boards/1:0.8,orders:POST:/orders:0.2", Usage: "requests, `SERVICE:METHOD:PATH:WEIGHT` separated by commas"},
		&cli.FloatFlag{Name: "rate", Value: 100, Usage: "requests per second"},
		&cli.DurationFlag{Name: "duration", Value: 10 * time.Second, Usage: "length of the run"},
		&cli.DurationFlag{Name: "timeout", Value: 2 * time.Second, Usage: "time that a caller waits for a request with all its attempts"},
		&cli.IntFlag{Name: "callers", Value: 256, Usage: "requests that are in flight at most; one that cannot start within the timeout is skipped"},
		&cli.IntFlag{Name: "body", Value: 64, Usage: "size of the body of requests other than GET, HEAD and OPTIONS, in bytes"},
		&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the order of requests"},
		&cli.BoolFlag{Name: "impatient", Usage: "callers ignore Retry-After, give up on an attempt after a quarter of the timeout, and try up to 10 times"},
		&cli.BoolFlag{Name: "allow-remote", Usage: "allow addresses that are not loopback addresses"},
		&cli.BoolFlag{Name: "json", Usage: "print the result as JSON"},
	}
}

func newLoad(c *cli.Command) (*load, error) {
	zones, err := parseZones(c.StringSlice("entry"), c.Bool("allow-remote"))
	if err != nil {
		return nil, err
	}
	mix, err := parseMix(c.String("mix"))
	if err != nil {
		return nil, err
	}
	l := &load{
		mix: mix, rate: c.Float("rate"), duration: c.Duration("duration"), timeout: c.Duration("timeout"),
		callers: c.Int("callers"), body: c.Int("body"), seed: c.Uint64("seed"),
	}
	if l.rate <= 0 || l.duration <= 0 || l.timeout <= 0 || l.callers <= 0 || l.body < 0 {
		return nil, errors.New("rate, duration, timeout and callers must be positive, and body must not be negative")
	}
	opts := client.Options{Zones: zones, Timeout: l.timeout, IdleConnections: l.callers}
	if c.Bool("impatient") {
		opts.IgnoreRetryAfter = true
		opts.Attempts = impatientAttempts
		opts.AttemptTimeout = l.timeout / impatientTimeoutDivisor
	}
	l.client, err = client.New(opts)
	return l, err
}

// parseZones parses entries of the form ZONE=HOST:PORT,HOST:PORT, where ZONE= may be omitted. Unless allowRemote is set, it
// accepts loopback addresses and localhost only.
func parseZones(entries []string, allowRemote bool) ([]client.Zone, error) {
	var zones []client.Zone
	for _, e := range entries {
		name, list, ok := strings.Cut(e, "=")
		if !ok {
			name, list = "", e
		}
		z := client.Zone{Name: name, Addresses: strings.Split(list, ",")}
		for _, a := range z.Addresses {
			host, _, err := net.SplitHostPort(a)
			if err != nil {
				return nil, fmt.Errorf("entry %q: %w", e, err)
			}
			if ip := net.ParseIP(host); !allowRemote && host != "localhost" && (ip == nil || !ip.IsLoopback()) {
				return nil, fmt.Errorf("entry %q: %s is not a loopback address; set --allow-remote to send load to it", e, host)
			}
		}
		zones = append(zones, z)
	}
	return zones, nil
}
