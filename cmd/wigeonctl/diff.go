package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/urfave/cli/v3"

	"github.com/wigeoncleat/wigeoncleat/internal/version/policy"
	"github.com/wigeoncleat/wigeoncleat/internal/version/schema"
)

func init() { register(diffCommand) }

const flagFrom = "from"

// diffResult is the JSON result of the command diff.
type diffResult struct {
	Findings    []policy.Finding    `json:"findings"`
	Differences []policy.Difference `json:"differences"`
}

func diffCommand() *cli.Command {
	return &cli.Command{
		Name:      "diff",
		Usage:     "lists the effective differences that policy files make at each site",
		ArgsUsage: "BASE OVERLAY...",
		Description: "Compares the files with those of the same name in the directory --from. An overlay that the directory " +
			"lacks is of a new site.",
		Flags:  []cli.Flag{&cli.StringFlag{Name: flagFrom, Usage: "`DIRECTORY` of the files before the change"}},
		Action: diff,
	}
}

func diff(_ context.Context, c *cli.Command) error {
	names, from := c.Args().Slice(), c.String(flagFrom)
	if len(names) < 2 {
		return errNeedFiles
	}
	if from == "" {
		return errors.New("--from is required")
	}
	if err := rejectDuplicates(names); err != nil {
		return err
	}
	before, err := readPrevious(from, names)
	if err != nil {
		return err
	}
	after, err := readSet(names[0], names[1:])
	if err != nil {
		return err
	}
	differences, findings, err := policy.Diff(before, after)
	if err != nil && !errors.Is(err, policy.ErrRejected) {
		return withExitFailed(err)
	}
	result := diffResult{append([]policy.Finding{}, findings...), append([]policy.Difference{}, differences...)}
	err = printResult(c, result, func(w io.Writer) {
		printFindings(w, findings)
		for _, d := range differences {
			fmt.Fprintf(w, "%s: [%s] %s: %s -> %s\n", d.Site, d.Section, d.Key, formatSetting(d.Old), formatSetting(d.New))
		}
	})
	if err != nil {
		return err
	}
	return findingsError(findings)
}

// readPrevious reads the files of the same names from a directory. Overlays that it lacks are left out.
func readPrevious(dir string, names []string) (policy.FileSet, error) {
	base := filepath.Join(dir, filepath.Base(names[0]))
	var overlays []string
	for _, n := range names[1:] {
		old := filepath.Join(dir, filepath.Base(n))
		if _, err := os.Stat(old); errors.Is(err, os.ErrNotExist) {
			continue
		}
		overlays = append(overlays, old)
	}
	return readSet(base, overlays)
}

// formatSetting returns the old or new value of a difference with its origin.
func formatSetting(s *schema.Setting) string {
	if s == nil {
		return "none"
	}
	return fmt.Sprintf("%s (%s)", s.Value, s.Origin)
}
