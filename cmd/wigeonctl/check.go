package main

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"github.com/wigeoncleat/wigeoncleat/internal/version/policy"
)

func init() { register(checkCommand) }

const flagEffective = "effective"

// checkResult is the JSON result of the command check.
type checkResult struct {
	Findings []policy.Finding `json:"findings"`
	Sites    []policy.Site    `json:"sites,omitempty"` // with --effective
}

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "checks policy files and lists their effective values",
		ArgsUsage: "BASE OVERLAY...",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: flagEffective, Usage: "list every effective value of each site with its origin"},
		},
		Action: check,
	}
}

func check(_ context.Context, c *cli.Command) error {
	names := c.Args().Slice()
	if len(names) < 2 {
		return errNeedFiles
	}
	if err := rejectDuplicates(names); err != nil {
		return err
	}
	set, err := readSet(names[0], names[1:])
	if err != nil {
		return err
	}
	sites, findings := policy.Check(set)
	result := checkResult{Findings: append([]policy.Finding{}, findings...)}
	if c.Bool(flagEffective) {
		result.Sites = sites
	}
	err = printResult(c, result, func(w io.Writer) {
		printFindings(w, findings)
		for _, site := range result.Sites {
			for _, s := range site.Effective {
				fmt.Fprintf(w, "%s: [%s] %s = %s (%s)\n", site.Name, s.Section, s.Key, s.Value, s.Origin)
			}
		}
	})
	if err != nil {
		return err
	}
	return findingsError(findings)
}
