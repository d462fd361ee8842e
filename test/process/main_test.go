// Package process tests real processes on loopback addresses. The tests compare the outcomes that callers receive with the
// executions at the targets, while nodes, targets and the platform fail. docs/proofs-process.md lists them.
package process

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"testing"
)

const module = "github.com/wigeoncleat/wigeoncleat"

// Names of the binaries that the tests start.
const (
	nodeBinary    = "wigeoncleat-node"
	standinBinary = "wigeon-standin"
	ctlBinary     = "wigeonctl"
)

var (
	binDir string
	// launchRequests are functions that start processes. One goroutine runs them all and keeps its OS thread until the test
	// binary ends, because the kernel sends the parent-death signal when the thread that started a process ends, not when the
	// parent process ends.
	launchRequests = make(chan func())
	// siteSlots limits the number of sites that run at the same time: each has 17 processes.
	siteSlots = make(chan struct{}, 3)
)

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "wigeoncleat-process-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binDir = dir
	if err := build(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	go func() {
		runtime.LockOSThread()
		for launch := range launchRequests {
			launch()
		}
	}()
	return m.Run()
}

// build builds the binaries without the race detector, which would make the 17 processes of a site several times slower.
func build() error {
	args := []string{"build", "-buildvcs=false", "-o", binDir + string(filepath.Separator)}
	for _, name := range []string{nodeBinary, standinBinary, ctlBinary} {
		args = append(args, module+"/cmd/"+name)
	}
	if out, err := exec.Command("go", args...).CombinedOutput(); err != nil {
		return fmt.Errorf("build: %w\n%s", err, out)
	}
	return nil
}
