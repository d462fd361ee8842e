package window

import (
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against unbounded growth of the set while operators add and remove routes for months, and against evicting a window with
// a run in progress.
func TestIdleWindowsAreEvicted(t *testing.T) {
	var s Set
	running := s.Get("running")
	require.True(t, running.TryStart())
	for i := range 10 * maxWindows {
		s.Get(strconv.Itoa(i))
		require.LessOrEqual(t, s.count, maxWindows)
	}
	require.Same(t, running, s.Get("running"))
	n := 0
	s.windows.Range(func(any, any) bool { n++; return true })
	require.Equal(t, s.count, n)
}
