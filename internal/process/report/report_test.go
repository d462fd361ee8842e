package report

import (
	"fmt"
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
	require.True(t, tr.Leave("i-1", 100, now))
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

// Guards against a leave that is forgotten because the node has heard nothing else of the instance, or has heard of another one.
func TestLeaveOfAnUnknownInstanceHolds(t *testing.T) {
	for name, before := range map[string]func(*Tracker){
		"nothing known":    func(*Tracker) {},
		"earlier instance": func(tr *Tracker) { tr.Observe(ready("i-0", 50, 1), now) },
		"later instance":   func(tr *Tracker) { tr.Observe(ready("i-2", 200, 1), now) },
		"other ones left":  func(tr *Tracker) { tr.Leave("i-2", 200, now); tr.Leave("i-3", 300, now) },
	} {
		t.Run(name, func(t *testing.T) {
			tr := NewTracker()
			before(tr)
			tr.Leave("i-1", 100, now)
			require.Equal(t, Ignored, tr.Observe(ready("i-1", 100, 8), now))
			require.Equal(t, Ignored, tr.Observe(ready("i-1", 100, 9), now))
			require.False(t, tr.State(now).Instance == "i-1" && tr.State(now).Phase == PhaseReady)
			require.Equal(t, Replaced, tr.Observe(ready("i-1", 400, 1), now), "a later process with the same ID")
			require.Contains(t, tr.Leavings(), Leaving{"i-1", 100, 0, PhaseGone})
		})
	}
}

// Guards against a late leave that ends a later process with the same ID.
func TestLateLeaveDoesNotEndALaterProcess(t *testing.T) {
	tr := NewTracker()
	tr.Observe(ready("i-1", 300, 1), now)
	require.False(t, tr.Leave("i-1", 100, now))
	require.Equal(t, PhaseReady, tr.State(now).Phase)
	require.Equal(t, Renewed, tr.Observe(ready("i-1", 300, 2), now))
}

// Guards against a target that is never used because the clock was set back between the end of the one before it and its start.
func TestInstanceAfterAClockStepBackIsUsed(t *testing.T) {
	tr := NewTracker()
	tr.Observe(ready("i-1", 300, 1), now)
	tr.Leave("i-1", 300, now)
	require.Equal(t, Replaced, tr.Observe(ready("i-2", 290, 1), now))
	require.Equal(t, Ignored, tr.Observe(ready("i-1", 300, 2), now))
	require.Equal(t, "i-2", tr.State(now).Instance)
}

// Guards against a drain that is known from before a restart and forgotten because a late report of an earlier instance came first.
func TestRestoredDrainOfAnotherInstanceHolds(t *testing.T) {
	tr := NewTracker()
	tr.Observe(ready("i-1", 100, 9), now)
	require.False(t, tr.Restore("i-2", 200, 6, PhaseDraining))
	require.Equal(t, Ignored, tr.Observe(ready("i-2", 200, 6), now))
	require.Equal(t, Replaced, tr.Observe(ready("i-2", 200, 7), now), "it has changed its mind")
}

// Guards against a late report that ends a drain because a report between two reports of the drain was missing.
func TestDrainOutdatesAllReportsBeforeIt(t *testing.T) {
	tr := NewTracker()
	tr.Observe(draining("i-1", 100, 6), now)
	tr.Observe(draining("i-1", 100, 7), now)
	require.EqualValues(t, 6, tr.Leavings()[0].Sequence, "no report is missing")
	tr.Observe(draining("i-1", 100, 9), now)
	require.EqualValues(t, 9, tr.Leavings()[0].Sequence, "the missing one may have ended the drain before")
}

// Guards against memory that grows with the instances that have left.
func TestFewLeavingsAreKept(t *testing.T) {
	tr := NewTracker()
	for n := range int64(100) {
		tr.Leave(fmt.Sprint(n), n+1, now)
	}
	require.Len(t, tr.Leavings(), maxLeavings)
	require.Equal(t, Leaving{"99", 100, 0, PhaseGone}, tr.Leavings()[0])
}
