package report

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var now = time.Unix(1000, 0)

func ready(instance string, born, sequence int64) Report {
	return Report{Instance: instance, Born: born, Sequence: sequence, Service: "menu", Phase: PhaseReady, Slots: 36}
}

func draining(instance string, born, sequence int64) Report {
	r := ready(instance, born, sequence)
	r.Phase = PhaseDraining
	return r
}

// Guards against a target that becomes ready again because of a delayed report from before its drain.
func TestLateReportDoesNotUndoADrain(t *testing.T) {
	tr := NewTracker()
	require.Equal(t, Replaced, tr.Observe(ready("i-1", 100, 4), now))
	require.Equal(t, Changed, tr.Observe(draining("i-1", 100, 6), now))
	require.Equal(t, Ignored, tr.Observe(ready("i-1", 100, 5), now))
	require.Equal(t, Ignored, tr.Observe(ready("i-1", 100, 6), now))
	require.Equal(t, PhaseDraining, tr.State(now).Phase)
}

// Guards against a report of a crashed instance that was delayed by a partition and arrives after its successor's.
func TestReportOfAnEarlierInstanceIsIgnored(t *testing.T) {
	tr := NewTracker()
	tr.Observe(ready("i-1", 100, 9), now)
	require.Equal(t, Replaced, tr.Observe(ready("i-2", 200, 1), now))
	require.Equal(t, Ignored, tr.Observe(ready("i-1", 100, 10), now))
	require.Equal(t, "i-2", tr.State(now).Instance)
}

// Guards against a target that restarts under the same id and is ignored because its sequence numbers start again.
func TestSameIDStartsAnew(t *testing.T) {
	tr := NewTracker()
	tr.Observe(ready("i-1", 100, 50), now)
	require.True(t, tr.Leave("i-1", now))
	require.Equal(t, Ignored, tr.Observe(ready("i-1", 100, 51), now), "the instance has left")
	require.Equal(t, Replaced, tr.Observe(ready("i-1", 300, 1), now))
	require.Equal(t, PhaseReady, tr.State(now).Phase)
}

// Guards against a node that was killed after it acknowledged a drain, and accepts an old report after its restart.
func TestRestoredDrainHolds(t *testing.T) {
	tr := NewTracker()
	require.True(t, tr.Restore("i-1", 100, 6, PhaseDraining))
	require.Equal(t, Ignored, tr.Observe(ready("i-1", 100, 5), now))
	require.Equal(t, PhaseDraining, tr.State(now).Phase)

	tr = NewTracker()
	tr.Observe(ready("i-1", 100, 5), now)
	require.True(t, tr.Restore("i-1", 100, 6, PhaseDraining), "the old report arrived before the other nodes' entries")
	require.Equal(t, PhaseDraining, tr.State(now).Phase)

	tr = NewTracker()
	require.True(t, tr.Restore("i-1", 100, 6, PhaseGone))
	require.Equal(t, Ignored, tr.Observe(ready("i-1", 100, 7), now))

	tr = NewTracker()
	tr.Observe(ready("i-1", 100, 8), now)
	require.True(t, tr.Restore("i-1", 100, 6, PhaseGone), "an instance that has left stays gone whatever it reports later")
	require.Equal(t, PhaseGone, tr.State(now).Phase)
}

// Guards against an old drain that stops a target which has been restarted since.
func TestRestoreDoesNotStopALaterInstance(t *testing.T) {
	tr := NewTracker()
	tr.Observe(ready("i-1", 300, 1), now)
	require.False(t, tr.Restore("i-1", 100, 6, PhaseDraining))
	require.False(t, tr.Restore("i-1", 300, 0, PhaseReady))
	require.Equal(t, PhaseReady, tr.State(now).Phase)
}

// Guards against requests to a target that crashed without notice.
func TestSilentTargetIsNotReady(t *testing.T) {
	tr := NewTracker()
	tr.Observe(ready("i-1", 100, 1), now)
	require.False(t, tr.Overdue(now.Add(overdueAfter)))
	require.True(t, tr.Overdue(now.Add(overdueAfter+time.Millisecond)), "one report is overdue")
	require.Equal(t, PhaseReady, tr.State(now.Add(reportTimeout)).Phase)
	require.Equal(t, PhaseUnknown, tr.State(now.Add(reportTimeout+time.Millisecond)).Phase)
	require.Equal(t, Renewed, tr.Observe(ready("i-1", 100, 2), now.Add(time.Minute)))
	require.Equal(t, PhaseReady, tr.State(now.Add(time.Minute)).Phase)
}
