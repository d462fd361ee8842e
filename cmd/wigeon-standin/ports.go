package main

import (
	"context"
	"fmt"
	"net"

	"github.com/urfave/cli/v3"
)

func init() {
	register(&cli.Command{
		Name:  "ports",
		Usage: "print free loopback ports, one a line",
		Flags: []cli.Flag{&cli.IntFlag{Name: "count", Value: 1, Usage: "number of ports"}},
		Action: func(_ context.Context, c *cli.Command) error {
			return printPorts(c.Int("count"))
		},
	})
}

// printPorts prints distinct free ports, one per line. Every port stays open until all are found, so that none is printed
// twice.
func printPorts(count int) error {
	for range count {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return fmt.Errorf("ports: %w", err)
		}
		defer func() { _ = l.Close() }()
		fmt.Println(l.Addr().(*net.TCPAddr).Port)
	}
	return nil
}
