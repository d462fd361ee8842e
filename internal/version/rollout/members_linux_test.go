package rollout

import (
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// threadTime returns the processor time of this thread, which hardly depends on the load of the machine.
func threadTime(t *testing.T) time.Duration {
	const thread = 1 // RUSAGE_THREAD, which package syscall does not define
	var u syscall.Rusage
	require.NoError(t, syscall.Getrusage(thread, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// Guards against ticks that take more processor time than a node may spend on control at the planned size, 2,300 nodes.
func TestTickStaysWithinLimit(t *testing.T) {
	const seconds, limit = 50, 20 * time.Millisecond // 2 % of a core
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	s := newTickLoad(2300)
	began := threadTime(t)
	for range seconds {
		s.run(10)
	}
	cost := (threadTime(t) - began) / seconds
	t.Logf("%v of processor time a second", cost)
	require.Less(t, cost, limit)
}
