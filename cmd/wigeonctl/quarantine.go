package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/wigeoncleat/wigeoncleat/internal/process/quarantine"
	"github.com/wigeoncleat/wigeoncleat/internal/process/sidecar"
)

func init() { register(quarantineCommand) }

func quarantineCommand() *cli.Command {
	return &cli.Command{
		Name:   "quarantine",
		Usage:  "lists the requests that nodes of the transparent deployment hold, or releases one",
		Action: missingCommand,
		Commands: []*cli.Command{
			{Name: "list", Usage: "shows which requests are held, why, and when they are tried", Flags: adminFlags(), Action: listHeld},
			{Name: "release", Usage: "lets a request run again at all nodes; only on the VM of the node", ArgsUsage: "FINGERPRINT",
				Flags: adminFlags(), Action: releaseHeld},
		},
	}
}

func listHeld(ctx context.Context, c *cli.Command) error {
	var list sidecar.HeldList
	if err := callSidecar(ctx, c, http.MethodGet, sidecar.HeldPath, &list); err != nil {
		return err
	}
	return printResult(c, list, func(w io.Writer) { printHeld(w, list.Held) })
}

func printHeld(w io.Writer, held []quarantine.HeldRequest) {
	if len(held) == 0 {
		fmt.Fprintln(w, "no request is held")
	}
	for _, h := range held {
		next := "no further trial"
		if h.NextTrial != nil {
			next = fmt.Sprintf("next trial in %d s or later", *h.NextTrial)
		}
		fmt.Fprintf(w, "%s  %d targets ended while they ran it, the last %d s ago; %d trials, the target ended in %d; %s; forgotten in %d s\n",
			h.Fingerprint, h.Ends, h.LastEnd, h.Trials, h.CrashedTrials, next, h.ForgottenIn)
	}
}

func releaseHeld(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return errors.New("one fingerprint is required")
	}
	fp, err := quarantine.ParseFingerprint(c.Args().First())
	if err != nil {
		return err
	}
	path := strings.Replace(sidecar.ReleasePath, "{fingerprint}", fp.String(), 1)
	if err := callSidecar(ctx, c, http.MethodPost, path, &struct{}{}); err != nil {
		return err
	}
	return printResult(c, struct {
		Released string `json:"released"`
	}{fp.String()}, func(w io.Writer) { fmt.Fprintln(w, "released", fp) })
}

// callSidecar sends a request to the metrics interface of the first node that answers.
func callSidecar(ctx context.Context, c *cli.Command, method, path string, into any) error {
	addresses := c.StringSlice(flagNode)
	if len(addresses) == 0 {
		return errors.New("--node or WIGEON_NODE is required")
	}
	var failures error
	for _, address := range addresses {
		a, err := newAdmin(ctx, address, c.Duration(flagTimeout))
		if err == nil {
			err = a.call(ctx, method, path, nil, into)
		}
		if err == nil {
			return nil
		}
		failures = errors.Join(failures, err)
	}
	return withExitFailed(failures)
}
