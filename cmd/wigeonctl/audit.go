package main

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/wigeoncleat/wigeoncleat/internal/process/audit"
	"github.com/wigeoncleat/wigeoncleat/internal/process/node"
)

func init() { register(auditCommand) }

const flagLimit = "limit"

func auditCommand() *cli.Command {
	return &cli.Command{
		Name:  "audit",
		Usage: "lists who changed what, newest first",
		Flags: append(adminFlags(), &cli.IntFlag{Name: flagLimit, Value: 100, Usage: "number of entries, 1 to 1000"}),
		Action: func(ctx context.Context, c *cli.Command) error {
			a, err := dialAdmin(ctx, c)
			if err != nil {
				return err
			}
			var resp node.AuditResponse
			if err := a.call(ctx, "GET", "/audit?limit="+strconv.Itoa(c.Int(flagLimit)), nil, &resp); err != nil {
				return err
			}
			return printResult(c, resp, func(w io.Writer) { printAudit(w, resp) })
		},
	}
}

func printAudit(w io.Writer, resp node.AuditResponse) {
	for _, e := range resp.Entries {
		fmt.Fprintln(w, formatEntry(e))
	}
	if resp.Buffered > 0 || resp.Dropped > 0 {
		fmt.Fprintf(w, "this node holds %d entries for the platform and has dropped %d\n", resp.Buffered, resp.Dropped)
	}
}

// formatEntry returns an audit entry as one line of text.
func formatEntry(e audit.Entry) string {
	parts := []string{e.Time.UTC().Format(time.RFC3339), string(e.Kind)}
	for _, part := range []string{e.Subject, e.Outcome, e.Reason} {
		if part != "" {
			parts = append(parts, part)
		}
	}
	if e.Actor != "" {
		parts = append(parts, "by "+e.Actor)
	}
	if e.Kind == audit.KindChange {
		parts = append(parts, fmt.Sprintf("from version %d", e.Base))
		if e.Version > 0 {
			parts = append(parts, fmt.Sprintf("to %d", e.Version))
		}
	}
	if len(e.Differs) > 0 {
		parts = append(parts, "in "+strings.Join(e.Differs, ", "))
	}
	if e.Count > 0 {
		parts = append(parts, fmt.Sprintf("%d entries", e.Count))
	}
	if e.Comment != "" {
		parts = append(parts, strconv.Quote(e.Comment))
	}
	return strings.Join(parts, " ")
}
