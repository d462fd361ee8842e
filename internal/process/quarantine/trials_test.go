package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against a request that is never tried, and so refused for a day, because many targets ended at one moment while they ran it.
func TestCrashOfAllTargetsLeadsToATrial(t *testing.T) {
	for _, ends := range []int64{3, 4, 5, 6, 60} {
		table, fp := New(), fingerprint("/a")
		for n := range ends {
			endAll(table, start, fp, n)
		}
		require.Equal(t, Held, table.Check(fp, 4, start))
		now := start.Add(holdTimes[0])
		require.Equal(t, Trial, table.Check(fp, 4, now), "%d ends", ends)
		requireTrial(t, true, table, fp, now)
		table.Answered(fp, now)
		require.Equal(t, Free, table.Check(fp, 4, now), "%d ends", ends)
	}
}

// Guards against a trial that the table lets begin although it would refuse it by Check, because the service has one target left.
func TestBeginTrialSparesTheLastTarget(t *testing.T) {
	table, fp := New(), fingerprint("/a")
	table.SetPlace(Place{Self: "n0", Targets: func() []Target { return []Target{{Address: "n0"}} }})
	endAll(table, start, fp, 1, 2, 3)
	requireTrial(t, false, table, fp, start.Add(holdTimes[0]))
	requireTrial(t, true, table, fp, start.Add(lastTargetHold))
}

// Guards against a request that is refused for a day although its trials have not shown that it crashes targets, and against one that
// is free again within minutes although they have.
func TestOnlyTrialsThatCrashTheirTargetsHoldForLong(t *testing.T) {
	for crashes := range len(holdTimes) + 1 {
		table, fp, now := New(), fingerprint("/a"), start
		endAll(table, now, fp, 1, 2, 3)
		for n, hold := range holdTimes {
			now = now.Add(hold)
			requireTrial(t, true, table, fp, now)
			if n < crashes {
				endAll(table, now, fp, int64(10+n))
			} else {
				table.TrialFailed(fp)
				endAll(table, now, fingerprint("/other"), int64(10+n))
			}
		}
		require.Equal(t, Held, table.Check(fp, 4, now.Add(retention)))
		want := Free
		if crashes >= provenCrashes {
			want = Held
		}
		require.Equal(t, want, table.Check(fp, 4, now.Add(retention+time.Second)), "%d crashes", crashes)
		require.Equal(t, Free, table.Check(fp, 4, now.Add(heldRetention+time.Second)))
	}
}

// Guards against callers that are told to come back before the next trial, or although the request has crashed a target in a trial.
func TestRetryAfterFitsTheNextTrial(t *testing.T) {
	table, fp := New(), fingerprint("/a")
	endAll(table, start, fp, 1, 2, 3)
	require.Equal(t, holdTimes[0], table.Decide(fp, 4, start).RetryAfter)
	require.Equal(t, lastTargetHold, table.Decide(fp, 1, start).RetryAfter)
	now := start.Add(holdTimes[0])
	requireTrial(t, true, table, fp, now)
	require.Equal(t, trialDelay, table.Decide(fp, 4, now).RetryAfter, "its result is near")
	later := now.Add(trialDelay)
	require.Equal(t, holdTimes[1]-trialDelay, table.Decide(fp, 4, later).RetryAfter)
	endAll(table, later, fp, 4)
	require.Zero(t, table.Decide(fp, 4, later).RetryAfter)
}

// trialFleet is a set of nodes with a target each, and two requests: one that crashes its targets and one that they answer.
type trialFleet struct {
	tables           []*Table
	cut              []bool           // from all other nodes
	down             []bool           // target is not ready
	absent           [][]absentTarget // as each node sees the targets
	born             int64
	now              time.Time
	deadly, innocent Fingerprint
	trials           int // of the deadly request
}

type absentTarget struct {
	unreachable bool
	since       time.Time
}

func (f *trialFleet) start(i int) {
	table := New()
	f.absent[i] = make([]absentTarget, len(f.tables))
	table.SetPlace(Place{Self: fmt.Sprint("n", i), Targets: func() (out []Target) {
		for j := range f.tables {
			out = append(out, Target{fmt.Sprint("n", j), f.absent[i][j].since})
		}
		return out
	}})
	f.tables[i] = table
	f.tell(i)
}

// look updates what the nodes see of the targets.
func (f *trialFleet) look() {
	for i := range f.tables {
		for j := range f.tables {
			a, unreachable := &f.absent[i][j], i != j && (f.cut[i] || f.cut[j])
			switch {
			case !unreachable && !f.down[j]:
				a.since = time.Time{}
			case a.since.IsZero() || a.unreachable != unreachable:
				a.since = f.now
			}
			a.unreachable = unreachable
		}
	}
}

// tell exchanges records between a node and all that it reaches, as nodes do whose sums differ.
func (f *trialFleet) tell(i int) {
	for j, other := range f.tables {
		if other == nil || i == j || f.cut[i] || f.cut[j] {
			continue
		}
		var list []Record
		from, to := other, f.tables[i]
		for range 4 {
			list = from.Records(maxRecords, list, f.now)
			_, cleared := to.Merge(list, f.now)
			list = append(list, cleared...)
			from, to = to, from
		}
	}
}

// heal ends all cuts. Nodes that reach each other again compare their records.
func (f *trialFleet) heal() {
	clear(f.cut)
	f.look()
	for range 2 {
		for i := range f.tables {
			f.tell(i)
		}
	}
}

func (f *trialFleet) reachesOthers(i int) bool {
	for j := range f.tables {
		if i != j && !f.cut[i] && !f.cut[j] {
			return true
		}
	}
	return false
}

func (f *trialFleet) end(i int, inProgress ...Fingerprint) {
	f.born++
	f.tables[i].Ended(EndOf("i", f.born), inProgress, f.now)
}

// try runs both requests as a trial at each node that may begin one.
func (f *trialFleet) try(order []int) {
	for _, i := range order {
		if f.down[i] {
			continue
		}
		if _, ok := f.tables[i].BeginTrial(f.innocent, f.now); ok {
			f.tables[i].Answered(f.innocent, f.now)
			f.tell(i)
		}
		if _, ok := f.tables[i].BeginTrial(f.deadly, f.now); ok {
			f.trials++
			f.tell(i)
			f.end(i, f.deadly)
			f.tell(i)
		}
	}
}

// Guards against more than three trials of a request that crashes its targets, at whatever nodes, while targets end in series or all at
// one moment and nodes are restarted or cut off; and against a request that targets answer and that is refused for long after that.
func TestTrialsOverAllNodes(t *testing.T) {
	checkTrials(t, func(f *trialFleet, i int) bool { return f.reachesOthers(i) })
}

// Guards against a further trial after all nodes on one side of a cut were restarted, which forget a trial that only they knew of.
func TestTrialsWhileOneSideOfACutRestarts(t *testing.T) {
	checkTrials(t, func(f *trialFleet, i int) bool { return !f.cut[i] && len(f.tables) > 1 })
}

// checkTrials plays random events and checks the bound on trials. Nodes are restarted only where mayRestart allows it.
func checkTrials(t *testing.T, mayRestart func(f *trialFleet, node int) bool) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 7).Draw(t, "size")
		f := &trialFleet{
			tables: make([]*Table, size), cut: make([]bool, size), down: make([]bool, size), absent: make([][]absentTarget, size), now: start,
			deadly: fingerprint("/deadly"), innocent: fingerprint("/innocent"),
		}
		for i := range size {
			f.start(i)
		}
		for n := range MaxEnds { // both requests are in progress
			f.end(n%size, f.deadly, f.innocent)
			f.tell(n % size)
		}
		var cutFor time.Duration
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			step := time.Duration(rapid.IntRange(10, 6000).Draw(t, "ms")) * time.Millisecond
			if cutFor > 0 && cutFor+step > 12*time.Second { // the longest cut that the operators expect
				f.heal()
				cutFor = 0
			}
			if f.now = f.now.Add(step); cutFor > 0 {
				cutFor += step
			}
			i := rapid.IntRange(0, size-1).Draw(t, "node")
			switch rapid.SampledFrom([]string{"tell", "try", "crash", "ready", "cut", "heal", "restart", "end"}).Draw(t, "action") {
			case "crash":
				for j := range size {
					f.down[j] = true
				}
			case "ready":
				clear(f.down)
			case "cut":
				f.cut[i], cutFor = true, max(cutFor, 1)
			case "heal":
				f.heal()
				cutFor = 0
			case "restart":
				if mayRestart(f, i) {
					f.start(i)
				}
			case "end":
				f.down[i] = true
				f.end(i, f.innocent)
			case "tell":
				f.tell(i)
			case "try":
				f.try(rapid.Permutation(indices(size)).Draw(t, "order"))
			}
			f.look()
		}
		require.LessOrEqual(t, f.trials, len(holdTimes))

		clear(f.down)
		f.heal()
		f.now = f.now.Add(lastTargetHold)
		f.try(indices(size))
		require.Equal(t, Free, f.tables[0].Check(f.innocent, size, f.now))
		for range 100 {
			f.now = f.now.Add(10 * time.Minute)
			f.try(indices(size))
		}
		require.Equal(t, len(holdTimes), f.trials)
	})
}

func indices(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}

// Guards against a list for operators that lacks a held request, or misstates why it is held and when it is tried.
func TestHeldListsWhyAndUntilWhen(t *testing.T) {
	table, fp := New(), fingerprint("/a")
	endAll(table, start, fp, 1, 2, 3)
	endAll(table, start, fingerprint("/free"), 1, 2)
	now := start.Add(holdTimes[0])
	requireTrial(t, true, table, fp, now)
	endAll(table, now, fp, 4)
	held := table.Held(now.Add(time.Second))
	require.Len(t, held, 1)
	next, since := int64(9), int64(1)
	require.Equal(t, HeldRequest{
		Fingerprint: fp.String(), Ends: 4, LastEnd: 1, Trials: 1, CrashedTrials: 1, NextTrial: &next, LastTrial: &since, ForgottenIn: 24*3600 - 1,
	}, held[0])
	parsed, err := ParseFingerprint(held[0].Fingerprint)
	require.NoError(t, err)
	_, ok := table.Release(parsed, now)
	require.True(t, ok)
	require.Empty(t, table.Held(now))
	for _, bad := range []string{"", "zz", fp.String() + "00", fp.String()[1:]} {
		_, err := ParseFingerprint(bad)
		require.Error(t, err, bad)
	}
}
