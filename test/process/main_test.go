// Package process holds tests with real processes on loopback. They compare what callers were told with what the targets
// ran, while nodes, targets and the platform fail. docs/proofs-process.md lists them.
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
	// launches are run by one goroutine that keeps its OS thread until the test binary ends. The kernel kills a process
	// with a parent-death signal when the thread that started it ends, not when the parent process ends.
	launches = make(chan func())
	// slots bounds the sites that run at once: each has 17 processes.
	slots = make(chan struct{}, 3)
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
		for launch := range launches {
			launch()
		}
	}()
	return m.Run()
}

// build builds the binaries without the race detector, which would slow 17 processes down several times.
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
