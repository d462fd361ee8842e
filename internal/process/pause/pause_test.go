package pause

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a pause that is not seen by what asks first after it, or that counts for what began later.
func TestPauseIsReportedAtOnceForRunningWork(t *testing.T) {
	defer func() { lastCheck.Store(0); lastPauseEnd.Store(0) }()
	require.False(t, Since(time.Now()), "nobody watches")
	now := int64(time.Since(origin))
	check(now - int64(3*time.Second)) // stopped after this look
	before := time.Now().Add(-time.Second)
	require.True(t, Since(before), "the next look has not come yet")
	check(now)
	require.True(t, Since(before))
	require.False(t, Since(time.Now().Add(time.Millisecond)))
}
