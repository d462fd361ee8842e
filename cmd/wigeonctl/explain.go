package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/wigeoncleat/wigeoncleat/internal/process/explain"
)

func init() { register(explainCommand) }

// stdinName is the file name that stands for the standard input.
const stdinName = "-"

var errNeedLogs = errors.New("an ID and one or more log files of nodes are required, where - is the standard input")

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "shows from the logs of nodes what became of a request and its calls",
		ArgsUsage: "ID FILE...",
		Action:    explainRequest,
	}
}

func explainRequest(_ context.Context, c *cli.Command) error {
	args := c.Args().Slice()
	if len(args) < 2 {
		return errNeedLogs
	}
	r := explain.NewReader(args[0])
	for _, name := range args[1:] {
		if err := readLog(r, name, c.Root().Reader); err != nil {
			return withExitFailed(err)
		}
	}
	report, ok := r.Report()
	if !ok {
		return withExitFailed(fmt.Errorf("%d logs contain no line of request %s; only a sample of the answered requests is logged",
			len(args)-1, args[0]))
	}
	return printResult(c, report, func(w io.Writer) { printExplanation(w, report) })
}

func readLog(r *explain.Reader, name string, stdin io.Reader) error {
	if name == stdinName {
		return r.Read("standard input", stdin)
	}
	f, err := os.Open(name)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	defer f.Close()
	return r.Read(filepath.Base(name), f)
}

func printExplanation(w io.Writer, r *explain.Report) {
	printRequest(w, r.Root, 0)
	fmt.Fprintf(w, "cause: %s\n", r.Cause)
	for _, address := range r.Missing {
		fmt.Fprintf(w, "missing: the lines of the node at %s\n", address)
	}
}

const indent = "  "

func printRequest(w io.Writer, q *explain.Request, depth int) {
	prefix := strings.Repeat(indent, depth)
	fmt.Fprintf(w, "%s%s\n", prefix, q.ID)
	for i := range q.Lines {
		fmt.Fprintf(w, "%s%s%s\n", prefix, indent, formatLine(&q.Lines[i]))
	}
	for _, call := range q.Calls {
		printRequest(w, call, depth+1)
	}
}

// formatLine returns a log line as text, with the fields that are set.
func formatLine(l *explain.Line) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s: %s", l.Time.Format("15:04:05.000"), l.Node, l.Message)
	for _, f := range []struct{ name, value string }{
		{"service", l.Service}, {"reason", l.Reason}, {"step", l.Step}, {"peer", l.Peer}, {"tried", l.Tried},
		{"outcome", l.Outcome}, {"detail", l.Detail},
	} {
		if f.value != "" {
			fmt.Fprintf(&b, " %s=%q", f.name, f.value)
		}
	}
	for _, f := range []struct {
		name  string
		value int64
	}{{"status", int64(l.Status)}, {"version", int64(l.Version)}, {"took_ms", l.TookMS}, {"left_ms", l.LeftMS}} {
		if f.value != 0 {
			fmt.Fprintf(&b, " %s=%d", f.name, f.value)
		}
	}
	return b.String()
}
