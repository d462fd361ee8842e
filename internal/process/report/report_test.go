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

// Guards against a target that takes work again because of a report that was sent before it began to drain and came later.
func TestLateReportDoesNotUndoADrain(t *testing.T) {
	tr := NewTracker()
	require.Equal(t, Replaced, tr.Observe(ready("i-1", 100, 4), now))
	require.Equal(t, Changed, tr.Observe(draining("i-1", 100, 6), now))
	require.Equal(t, Ignored, tr.Observe(ready("i-1", 100, 5), now))
	require.Equal(t, Ignored, tr.Observe(ready("i-1", 100, 6), now))
	require.Equal(t, PhaseDraining, tr.State(now).Phase)
}

// Guards against the report of a crashed instance that was held up by a partition and arrives after its successor's.
func TestReportOfAnEarlierInstanceIsIgnored(t *testing.T) {
	tr := NewTracker()
	tr.Observe(ready("i-1", 100, 9), now)
	require.Equal(t, Replaced, tr.Observe(ready("i-2", 200, 1), now))
	require.Equal(t, Ignored, tr.Observe(ready("i-1", 100, 10), now))
	require.Equal(t, "i-2", tr.State(now).Instance)
}

// Guards against a target that starts again under its id and is ignored because its sequence starts anew.
func TestSameIDStartsAnew(t *testing.T) {
	tr := NewTracker()
	tr.Observe(ready("i-1", 100, 50), now)
	require.True(t, tr.Leave("i-1", now))
	require.Equal(t, Ignored, tr.Observe(ready("i-1", 100, 51), now), "the instance has said that it leaves")
	require.Equal(t, Replaced, tr.Observe(ready("i-1", 300, 1), now))
	require.Equal(t, PhaseReady, tr.State(now).Phase)
}

// Guards against a node that was killed after it acknowledged a drain, and after its restart believes an old report.
func TestRestoredDrainHolds(t *testing.T) {
	tr := NewTracker()
	require.True(t, tr.Restore("i-1", 100, 6, PhaseDraining))
	require.Equal(t, Ignored, tr.Observe(ready("i-1", 100, 5), now))
	require.Equal(t, PhaseDraining, tr.State(now).Phase)

	tr = NewTracker()
	tr.Observe(ready("i-1", 100, 5), now)
	require.True(t, tr.Restore("i-1", 100, 6, PhaseDraining), "the old report came before the other nodes' memory")
	require.Equal(t, PhaseDraining, tr.State(now).Phase)

	tr = NewTracker()
	require.True(t, tr.Restore("i-1", 100, 6, PhaseGone))
	require.Equal(t, Ignored, tr.Observe(ready("i-1", 100, 7), now))

	tr = NewTracker()
	tr.Observe(ready("i-1", 100, 8), now)
	require.True(t, tr.Restore("i-1", 100, 6, PhaseGone), "an instance that has left is gone, whatever it reports later")
	require.Equal(t, PhaseGone, tr.State(now).Phase)
}

// Guards against memory of a drain that stops a target which has started anew since.
func TestRestoreDoesNotStopALaterInstance(t *testing.T) {
	tr := NewTracker()
	tr.Observe(ready("i-1", 300, 1), now)
	require.False(t, tr.Restore("i-1", 100, 6, PhaseDraining))
	require.False(t, tr.Restore("i-1", 300, 0, PhaseReady))
	require.Equal(t, PhaseReady, tr.State(now).Phase)
}

// Guards against work for a target that crashed without a word.
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
