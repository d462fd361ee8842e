package main

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/urfave/cli/v3"

	"github.com/wigeoncleat/wigeoncleat/internal/process/node"
)

func init() {
	register(statusCommand)
	register(drainCommand)
}

const flagChange = "change"

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "shows a node, the members that it knows, or the result of a change",
		Flags: append(adminFlags(), &cli.StringFlag{Name: flagChange, Usage: "`ID` of a change to settle"}),
		Action: func(ctx context.Context, c *cli.Command) error {
			if id := c.String(flagChange); id != "" {
				return settleChange(ctx, c, id)
			}
			return nodeStatus(ctx, c, "GET", "/status")
		},
	}
}

func drainCommand() *cli.Command {
	return &cli.Command{
		Name:  "drain",
		Usage: "stops a node gracefully: it takes no new work, ends its requests and exits",
		Flags: adminFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			return nodeStatus(ctx, c, "POST", "/drain")
		},
	}
}

// nodeStatus sends a request to which a node responds with its status, and prints the status.
func nodeStatus(ctx context.Context, c *cli.Command, method, path string) error {
	a, err := dialAdmin(ctx, c)
	if err != nil {
		return err
	}
	var s node.Status
	if err := a.call(ctx, method, path, nil, &s); err != nil {
		return err
	}
	return printResult(c, s, func(w io.Writer) { printStatus(w, s) })
}

func printStatus(w io.Writer, s node.Status) {
	fmt.Fprintf(w, "node %s, incarnation %d, site %s, availability zone %s\n", s.Address, s.Incarnation, s.Site, s.AvailabilityZone)
	fmt.Fprintf(w, "configuration version %d, confirmed %t\n", s.Version, s.Confirmed)
	fmt.Fprintf(w, "target of %s: ready %t, in flight %d of %d, threshold %d\n", s.Service, s.TargetReady, s.InFlight, s.Limit, s.Threshold)
	fmt.Fprintf(w, "leaving %t, active requests %d, links %d dialed and %d accepted\n", s.Leaving, s.Active, s.LinksDialed, s.LinksAccepted)
	for _, service := range slices.Sorted(maps.Keys(s.Members)) {
		for _, state := range slices.Sorted(maps.Keys(s.Members[service])) {
			fmt.Fprintf(w, "other members of %s: %d %s\n", service, s.Members[service][state], state)
		}
	}
	for name, count := range s.Violations {
		if count > 0 {
			fmt.Fprintf(w, "invariant %s violated %d times: report the log\n", name, count)
		}
	}
}
