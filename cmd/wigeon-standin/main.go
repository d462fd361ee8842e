// Command wigeon-standin runs fakes for tests and trials.
//
// Exit codes: 0 after a graceful stop, 1 on an error.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"
)

// commands are the subcommands. Each file of a subcommand adds its own in an init function.
var commands []*cli.Command

func main() {
	root := &cli.Command{Name: "wigeon-standin", Usage: "run fakes for tests and trials", Commands: commands}
	if err := root.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "wigeon-standin:", err)
		os.Exit(1)
	}
}
