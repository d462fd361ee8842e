package pause

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a pause that Since does not report until the next check of the clock, or that it reports for work that
// started after the pause.
func TestPauseIsReportedAtOnceForRunningWork(t *testing.T) {
	defer func() { lastCheck.Store(0); lastPauseEnd.Store(0) }()
	require.False(t, Since(time.Now()), "Watch does not run")
	now := int64(time.Since(origin))
	check(now - int64(3*time.Second)) // paused after this check
	before := time.Now().Add(-time.Second)
	require.True(t, Since(before), "the next check has not run yet")
	check(now)
	require.True(t, Since(before))
	require.False(t, Since(time.Now().Add(time.Millisecond)))
}
