package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/wigeoncleat/wigeoncleat/internal/version/policy"
	"github.com/wigeoncleat/wigeoncleat/internal/version/schema"
)

// readSet reads a base file and its overlays.
func readSet(base string, overlays []string) (policy.FileSet, error) {
	var set policy.FileSet
	var err error
	if set.Base, err = readFile(base); err != nil {
		return set, err
	}
	for _, name := range overlays {
		f, err := readFile(name)
		if err != nil {
			return set, err
		}
		set.Overlays = append(set.Overlays, f)
	}
	return set, nil
}

func readFile(name string) (policy.File, error) {
	body, err := os.ReadFile(name)
	if err != nil {
		return policy.File{}, withExitFailed(err)
	}
	return policy.File{Name: name, Body: body}, nil
}

// rejectDuplicates returns an error if a file is given twice.
func rejectDuplicates(names []string) error {
	seen := map[string]bool{}
	for _, n := range names {
		if seen[n] {
			return fmt.Errorf("the file %s is given twice", n)
		}
		seen[n] = true
	}
	return nil
}

func printFindings(w io.Writer, findings []policy.Finding) {
	for _, f := range findings {
		fmt.Fprintln(w, f)
	}
}

// findingsError returns an error with the number of findings of severity error, or nil if there is none.
func findingsError(findings []policy.Finding) error {
	n := 0
	for _, f := range findings {
		if f.Severity == schema.Error {
			n++
		}
	}
	if n == 0 {
		return nil
	}
	return &exitError{exitFindings, fmt.Errorf("findings of severity error: %d", n)}
}

// errNeedFiles is the usage error of commands that take a base file and overlays.
var errNeedFiles = errors.New("a base file and at least one overlay are required")
