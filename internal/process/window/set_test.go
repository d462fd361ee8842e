package window

import (
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against windows that pile up while operators add and remove routes for months, and against a run in progress that
// is forgotten with its window.
func TestWindowsOfPastRoutesAreDropped(t *testing.T) {
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
