package chain

import (
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
)

var (
	read     = Route{"history", "read"}
	roster   = Route{"agenda", "roster"}
	valveMap = Route{"mando", "map"}
	calib    = Route{"sonda", "calib"}
	order    = Request{Objective: 2 * time.Second, Left: 5 * time.Second}
)

func newTable() *Table {
	t := New()
	t.random = func() float64 { return 0.5 }
	return t
}

// finish ends a run that has made n calls to a route.
func finish(t *Table, run, called Route, n int, completed bool) []message.Need {
	var c Calls
	for range n {
		c.Add(called)
	}
	return t.Finish(run, &c, completed)
}

// attempts records n attempts, of which the given share passes.
func attempts(t *Table, service string, n int, share float64) {
	for i := range n {
		t.RecordAttempt(service, math.Floor(float64(i+1)*share) > math.Floor(float64(i)*share))
		time.Sleep(5 * time.Millisecond)
	}
}

// learned returns an entry node's table that knows what a run on a route needs of sonda and how sonda does.
func learned(calls, passed float64) *Table {
	t := newTable()
	t.Learn(read, []message.Need{{Service: "sonda", Calls: calls, Passed: passed}})
	return t
}

// Guards against figures that do not add up along a chain, here of two calls at once to a run that makes four calls of a service which
// refuses 0.55, and against needs that are lost because few runs complete in the trouble.
func TestNeedsMultiplyAlongAChain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mando, agenda, history, entry := newTable(), newTable(), newTable(), newTable()
		for range 5 { // before the trouble
			require.Empty(t, finish(mando, valveMap, calib, 4, true), "figures travel only in a trouble")
		}
		attempts(mando, "sonda", 200, 0.45)
		needs := finish(mando, valveMap, calib, 1, false) // the run stopped after its first call
		require.Len(t, needs, 1)
		require.InDelta(t, 4, needs[0].Calls, 0.01)
		require.InDelta(t, 0.45, needs[0].Passed, 0.05)
		agenda.Learn(valveMap, needs)
		history.Learn(roster, finish(agenda, roster, valveMap, 1, false))
		needs = finish(history, read, roster, 2, false)
		require.InDelta(t, 8, needs[0].Calls, 0.01)
		entry.Learn(read, needs)
		require.True(t, entry.Admit(read, order).Refuse)
	})
}

// Guards, while a service refuses 0.55, against orders that start and are lost, against a second refusal of one that returned, against
// reads that are refused although they can be repeated and show the end of the trouble, and against a retry-after time beyond what
// callers wait for or too late for the objective.
func TestOrdersThatNeedARefusingServiceAreRefusedOnce(t *testing.T) {
	tb := learned(4, 0.45)
	d := tb.Admit(read, order)
	require.True(t, d.Refuse)
	require.True(t, d.First)
	require.Equal(t, "sonda", d.Blocking)
	require.LessOrEqual(t, d.RetryAfter, order.Left/3)
	require.GreaterOrEqual(t, d.RetryAfter, order.Objective/10)
	require.False(t, tb.Admit(read, order).First)
	tb.RecordRequest(read, 700*time.Millisecond)
	require.LessOrEqual(t, tb.Admit(read, order).RetryAfter, 600*time.Millisecond)
	returned, idempotent := order, order
	returned.Returned, idempotent.Idempotent = true, true
	require.False(t, tb.Admit(read, returned).Refuse)
	require.False(t, tb.Admit(read, idempotent).Refuse)
	require.False(t, tb.Admit(Route{"mando", "order"}, order).Refuse, "a route whose runs make no calls")
	require.EqualValues(t, 3, tb.Counts().Refused)
}

// Guards against refusing chains that complete often enough: with one call, or with failures so few that retries make up for them.
func TestLikelyChainsAreAdmitted(t *testing.T) {
	require.False(t, learned(1, 0.45).Admit(read, order).Refuse)
	require.False(t, learned(8, 0.92).Admit(read, order).Refuse)
}

// Guards against refusals that go on after the trouble: for more than a second at a node that hears nothing, and at all at a node that
// hears that the service has recovered.
func TestEndOfTroubleIsDetectedWithinASecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		silent, told := learned(4, 0.45), learned(4, 0.45)
		require.True(t, told.Admit(read, order).Refuse)
		time.Sleep(500 * time.Millisecond)
		told.Learn(read, []message.Need{{Service: "sonda", Calls: 4, Passed: 1}})
		d := told.Admit(read, order)
		require.False(t, d.Refuse)
		require.Equal(t, "sonda", d.Recovered)
		require.True(t, silent.Admit(read, order).Refuse)
		time.Sleep(500 * time.Millisecond)
		require.False(t, silent.Admit(read, order).Refuse)

		mando := newTable()
		finish(mando, valveMap, calib, 4, true)
		attempts(mando, "sonda", 200, 0.45)
		attempts(mando, "sonda", 200, 1)
		require.InDelta(t, 1, finish(mando, valveMap, calib, 4, true)[0].Passed, 0.1, "the end is reported too")
		time.Sleep(reportPeriod)
		require.Empty(t, finish(mando, valveMap, calib, 4, true))
	})
}

// Guards against figures of a faulty node that refuse requests, panic or fill the memory.
func TestImpossibleFiguresAreIgnored(t *testing.T) {
	tb := newTable()
	bad := []message.Need{
		{Service: "sonda", Calls: math.NaN(), Passed: 0.1}, {Service: "sonda", Calls: -1, Passed: 0.1},
		{Service: "sonda", Calls: math.Inf(1), Passed: 0.1}, {Service: "sonda", Calls: 4, Passed: math.NaN()},
		{Service: "sonda", Calls: 4, Passed: -0.1}, {Service: "sonda", Calls: 4, Passed: 1.1},
		{Service: "sonda", Calls: 4, Passed: 0.1, Retried: 2}, {Calls: 4, Passed: 0.1},
	}
	tb.Learn(read, bad)
	require.False(t, tb.Admit(read, order).Refuse)
	require.EqualValues(t, len(bad), tb.Counts().Ignored)
	many := make([]message.Need, 1000)
	for i := range many {
		many[i] = message.Need{Service: string(rune('a' + i)), Calls: 1, Passed: 1}
	}
	tb.Learn(read, many)
	require.LessOrEqual(t, int(tb.services.count.Load()), maxNeeds)
}

// Guards against a service that falsely claims to refuse everything: what needs it is delayed once, never lost.
func TestFalseClaimOfTroubleOnlyDelays(t *testing.T) {
	tb := learned(8, 0)
	returned := order
	returned.Returned = true
	for range 100 {
		tb.Learn(read, []message.Need{{Service: "sonda", Calls: 8, Passed: 0}})
		require.True(t, tb.Admit(read, order).Refuse)
		require.False(t, tb.Admit(read, returned).Refuse)
	}
}

// Guards against needs that stay after a route has changed its calls.
func TestRouteThatStopsCallingIsForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := newTable()
		for range 50 {
			finish(tb, valveMap, calib, 4, true)
		}
		other := Route{"agenda", "other"}
		for range 300 {
			finish(tb, valveMap, other, 1, true)
		}
		attempts(tb, "sonda", 100, 0.45)
		require.Empty(t, finish(tb, valveMap, other, 1, true))
		require.Zero(t, tb.ShareLeft(valveMap, calib, 1))
	})
}

// Guards against a run whose last call counts as if much work was left.
func TestShareLeft(t *testing.T) {
	tb := newTable()
	finish(tb, valveMap, calib, 4, true)
	require.InDelta(t, 0.75, tb.ShareLeft(valveMap, calib, 1), 1e-9)
	require.Zero(t, tb.ShareLeft(valveMap, calib, 4))
	require.Zero(t, tb.ShareLeft(valveMap, calib, 9))
	require.Zero(t, tb.ShareLeft(Route{"x", "y"}, calib, 1))
}

func BenchmarkRunWithoutTrouble(b *testing.B) {
	tb := newTable()
	b.ReportAllocs()
	for range b.N {
		tb.RecordAttempt("sonda", true)
		finish(tb, valveMap, calib, 4, true)
	}
}
