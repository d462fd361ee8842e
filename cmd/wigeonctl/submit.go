package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/user"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/google/uuid"
	"github.com/urfave/cli/v3"

	"github.com/wigeoncleat/wigeoncleat/internal/process/node"
	"github.com/wigeoncleat/wigeoncleat/internal/version/policy"
	"github.com/wigeoncleat/wigeoncleat/internal/version/rollout"
)

func init() {
	register(fetchCommand)
	register(submitCommand)
}

const (
	flagAgainst = "against"
	flagAuthor  = "author"
	flagComment = "comment"
	flagResume  = "resume"
	// versionFile is the file that holds the version from which the files in its directory were fetched, or as which they
	// were accepted, and the hash of its body.
	versionFile = "VERSION"
)

func fetchCommand() *cli.Command {
	return &cli.Command{
		Name:      "fetch",
		Usage:     "writes the policy files in force to a directory, with their version",
		ArgsUsage: "DIRECTORY",
		Flags:     adminFlags(),
		Action:    fetch,
	}
}

func fetch(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return errors.New("a directory is required")
	}
	a, err := dialAdmin(ctx, c)
	if err != nil {
		return err
	}
	inForce, err := a.currentConfig(ctx)
	if err != nil {
		return err
	}
	dir := c.Args().First()
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return withExitFailed(err)
	}
	for _, f := range inForce.Files {
		if err := os.WriteFile(filepath.Join(dir, filepath.Base(f.Name)), f.Body, 0o644); err != nil {
			return withExitFailed(err)
		}
	}
	if err := writeVersion(dir, version{inForce.Version, inForce.Hash}); err != nil {
		return err
	}
	return printResult(c, inForce, func(w io.Writer) {
		fmt.Fprintf(w, "version %d: %d files in %s\n", inForce.Version, len(inForce.Files), dir)
	})
}

func (a *admin) currentConfig(ctx context.Context) (node.CurrentResponse, error) {
	var inForce node.CurrentResponse
	err := a.call(ctx, "GET", "/config", nil, &inForce)
	return inForce, err
}

// version is the content of the version file. A file of an earlier release, or written by hand, has no hash.
type version struct {
	number uint64
	hash   string
}

func parseVersion(text string) (version, error) {
	fields := strings.Fields(text)
	if len(fields) == 0 || len(fields) > 2 {
		return version{}, errors.New("a version and the hash of its body are expected")
	}
	number, err := strconv.ParseUint(fields[0], 10, 64)
	return version{number, strings.Join(fields[1:], "")}, err
}

func writeVersion(dir string, v version) error {
	text := strings.TrimSpace(strconv.FormatUint(v.number, 10)+" "+v.hash) + "\n"
	if err := os.WriteFile(filepath.Join(dir, versionFile), []byte(text), 0o644); err != nil {
		return withExitFailed(err)
	}
	return nil
}

func submitCommand() *cli.Command {
	return &cli.Command{
		Name:      "submit",
		Usage:     "submits policy files; the change takes effect everywhere or is refused",
		ArgsUsage: "BASE OVERLAY...",
		Description: "Checks the files, shows the differences to the version in force, and submits them. The version that the " +
			"change was made against is read from the file VERSION beside BASE, which fetch writes, or given by --against. " +
			"After an interruption, submit --resume ID gives the definite result. Exit codes: 0 accepted, 1 findings of " +
			"severity error, 2 usage, 3 failed, 4 refused, 5 not settled yet.",
		Flags: append(adminFlags(),
			&cli.Uint64Flag{Name: flagAgainst, Usage: "`VERSION` that the change was made against"},
			&cli.StringFlag{Name: flagAuthor, Usage: "who makes the change (default: the user's name)"},
			&cli.StringFlag{Name: flagComment, Usage: "what the change is for"},
			&cli.StringFlag{Name: flagResume, Usage: "`ID` of a submit that was interrupted"},
		),
		Action: submit,
	}
}

func submit(ctx context.Context, c *cli.Command) error {
	if id := c.String(flagResume); id != "" {
		return settleChange(ctx, c, id)
	}
	names := c.Args().Slice()
	if len(names) < 2 {
		return errNeedFiles
	}
	set, err := readSet(names[0], names[1:])
	if err != nil {
		return err
	}
	files, err := changeFiles(c, set)
	if err != nil {
		return err
	}
	base, err := baseVersion(c, filepath.Dir(names[0]))
	if err != nil {
		return err
	}
	a, err := dialAdmin(ctx, c)
	if err != nil {
		return err
	}
	if err := a.showDifferences(ctx, c, set); err != nil {
		return err
	}
	req := node.SubmitRequest{
		Change: rollout.Change{
			ID: uuid.NewString(), Base: base.number, BaseHash: base.hash, Author: author(c), Comment: c.String(flagComment),
		},
		Files: files,
	}
	fmt.Fprintf(c.Root().ErrWriter, "change %s against version %d\n", req.ID, base.number)
	var resp node.CommandResponse
	if err := a.call(ctx, "POST", "/config/changes", &req, &resp); err != nil {
		return &exitError{exitUnsettled, fmt.Errorf("%w; wigeonctl submit --resume %s gives the result", err, req.ID)}
	}
	if resp.Result.State == rollout.StateAccepted {
		if err := writeVersion(filepath.Dir(names[0]), version{resp.Result.Version, resp.Result.Hash}); err != nil {
			return err
		}
	}
	return printChange(c, resp)
}

// changeFiles checks the files and returns them under the names that nodes expect. It stops at the first overlay with
// findings of severity error.
func changeFiles(c *cli.Command, set policy.FileSet) ([]rollout.File, error) {
	files := []rollout.File{{Name: node.BaseFile, Body: set.Base.Body}}
	var findings []policy.Finding
	for _, overlay := range set.Overlays {
		pol, found, err := policy.Load(set.Base, overlay)
		findings = append(findings, found...)
		if err != nil {
			printFindings(c.Root().ErrWriter, findings)
			return nil, findingsError(findings)
		}
		files = append(files, rollout.File{Name: node.OverlayFile(pol.Site), Body: overlay.Body})
	}
	printFindings(c.Root().ErrWriter, findings)
	return files, nil
}

// baseVersion returns the version that the change was made against.
func baseVersion(c *cli.Command, dir string) (version, error) {
	if c.IsSet(flagAgainst) {
		return version{number: c.Uint64(flagAgainst)}, nil
	}
	text, err := os.ReadFile(filepath.Join(dir, versionFile))
	if err != nil {
		return version{}, fmt.Errorf("--against is required, because there is no file %s: %w", versionFile, err)
	}
	v, err := parseVersion(string(text))
	if err != nil {
		return version{}, fmt.Errorf("%s: %w", filepath.Join(dir, versionFile), err)
	}
	return v, nil
}

func author(c *cli.Command) string {
	if name := c.String(flagAuthor); name != "" {
		return name
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

// showDifferences prints the differences to the configuration in force, for each site. Without one it prints nothing.
func (a *admin) showDifferences(ctx context.Context, c *cli.Command, set policy.FileSet) error {
	inForce, err := a.currentConfig(ctx)
	if err != nil || inForce.Version == 0 {
		return err
	}
	var old policy.FileSet
	for _, f := range inForce.Files {
		file := policy.File{Name: f.Name, Body: f.Body}
		if f.Name == node.BaseFile {
			old.Base = file
			continue
		}
		old.Overlays = append(old.Overlays, file)
	}
	differences, _, err := policy.Diff(old, set)
	if err != nil {
		return withExitFailed(err)
	}
	for _, d := range differences {
		fmt.Fprintf(c.Root().ErrWriter, "%s: [%s] %s: %s -> %s\n", d.Site, d.Section, d.Key, formatSetting(d.Old), formatSetting(d.New))
	}
	return nil
}

// settleChange asks a node to settle a change that was submitted before, and prints the result.
func settleChange(ctx context.Context, c *cli.Command, id string) error {
	a, err := dialAdmin(ctx, c)
	if err != nil {
		return err
	}
	var resp node.CommandResponse
	if err := a.call(ctx, "GET", "/config/changes/"+id, nil, &resp); err != nil {
		return &exitError{exitUnsettled, err}
	}
	return printChange(c, resp)
}

// printChange prints the result of a change and returns the error for its exit code.
func printChange(c *cli.Command, resp node.CommandResponse) error {
	r := resp.Result
	err := printResult(c, resp, func(w io.Writer) {
		switch r.State {
		case rollout.StateAccepted:
			fmt.Fprintf(w, "accepted as version %d\n", r.Version)
		case rollout.StateRefused:
			fmt.Fprintf(w, "refused: %s\n", r.Reason)
			printRefusal(w, r)
		default:
			fmt.Fprintf(w, "not settled: %s; wigeonctl submit --resume %s gives the result\n", resp.Error, r.ID)
		}
	})
	if err != nil {
		return err
	}
	switch r.State {
	case rollout.StateAccepted:
		return nil
	case rollout.StateRefused:
		return &exitError{exitRefused, fmt.Errorf("change %s refused: %s", r.ID, r.Reason)}
	default:
		return &exitError{exitUnsettled, fmt.Errorf("change %s not settled: %s", r.ID, resp.Error)}
	}
}

func printRefusal(w io.Writer, r rollout.Result) {
	if r.Other != nil {
		fmt.Fprintf(w, "  version %d was accepted from %s: %s\n", r.Other.Version, r.Other.Author, r.Other.Comment)
		fmt.Fprintf(w, "  it changed %s\n", strings.Join(r.Other.Changed, ", "))
	}
	for _, address := range r.Unreached {
		fmt.Fprintf(w, "  node %s did not acknowledge\n", address)
	}
	for _, rejection := range r.Rejected {
		fmt.Fprintf(w, "  node %s rejected it: %s\n", rejection.Address, rejection.Reason)
	}
}
