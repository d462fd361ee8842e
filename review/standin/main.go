// Command standin runs the cases of the review: it starts the nodes of a small deployment as separate processes, is their store,
// their backends, their platform and their clients, and checks one rule. It exits with 1 if the rule was broken, 0 if it held, and 2
// if the case could not run. With TROUBLE=0 in the environment it leaves the disruption out.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// limit bounds the duration of a case.
const limit = 110 * time.Second

// result is the outcome of a case.
type result struct {
	broken bool
	text   string
}

// play runs a case.
type play func(ctx context.Context, rec *record, trouble bool) (result, error)

// cases are the cases by name. Each file of a case adds its own.
var cases = map[string]play{}

func main() {
	path := flag.String("record", "record.txt", "`file` that gets what was sent, answered and run")
	flag.Parse()
	os.Exit(runCase(flag.Arg(0), *path))
}

func runCase(name, path string) int {
	run, ok := cases[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		return 2
	}
	rec, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.line("case %s, with the disruption: %v", name, trouble)
	r, err := run(ctx, rec, trouble)
	switch {
	case err != nil:
		rec.line("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	case r.broken:
		rec.line("BROKEN: %s", r.text)
		fmt.Println("broken:", r.text)
		return 1
	}
	rec.line("held: %s", r.text)
	fmt.Println("held:", r.text)
	return 0
}

// pause waits, or returns an error when the case has to end.
func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
