package balance

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
)

// answered makes n picks and lets each target answer them well.
func answered(p *Picker, n int) map[string]int {
	out := map[string]int{}
	for range n {
		target, done, _ := p.Pick(Request{})
		out[target.Address]++
		done(Result{})
	}
	return out
}

// Guards against many senders that add up to a flood of a new target before its node has told any of them its pace, and against a sole
// sender that waits for proof that never comes. One of eleven targets is new; each sender sends ten requests without an answer.
func TestSendersOfANewTarget(t *testing.T) {
	for _, senders := range []int{2, 60, 2300} {
		synctest.Test(t, func(t *testing.T) {
			got := 0
			for i := range senders {
				p := newPicker("a", uint64(i))
				p.Update(newTargets(10, 40, "a"))
				time.Sleep(learnTime)
				p.Update(newTargets(11, 40, "a"))
				got += countPicks(p, 10)["t10"]
			}
			require.LessOrEqual(t, float64(got), 0.05*10*float64(senders)+1)
		})
	}
	synctest.Test(t, func(t *testing.T) {
		p := newPicker("a", 1)
		p.Update(newTargets(2, 40, "a"))
		time.Sleep(learnTime)
		p.Update(newTargets(3, 40, "a"))
		require.Less(t, answered(p, 30)["t2"], 15)
		answered(p, 100)
		require.Greater(t, answered(p, 900)["t2"], 200, "its answers end the ramp")
	})
}

// Guards against a ramp of each sender on top of the pace of the target's node, and against a sender that is cut off from that node
// and takes its silence for a full pace. Of two senders, one gets the figures.
func TestReportedPaceEndsTheRampOfTheSender(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		told, cutOff := newPicker("a", 1), newPicker("a", 2)
		for _, p := range []*Picker{told, cutOff} {
			p.Update(newTargets(2, 40, "a"))
		}
		time.Sleep(learnTime)
		for _, p := range []*Picker{told, cutOff} {
			p.Update(newTargets(3, 40, "a"))
		}
		for _, share := range []float64{0, -1, 7} { // absent and out of range
			told.SetCondition("t2", Condition{Load: message.Load{Limit: 10, Pace: share}})
		}
		require.EqualValues(t, 2, told.IgnoredFigures())
		require.Less(t, countPicks(told, 900)["t2"], 100)
		told.SetCondition("t2", Condition{Load: message.Load{Limit: 10, Pace: 0.25}})
		require.Greater(t, countPicks(told, 900)["t2"], 200)
		require.Less(t, countPicks(cutOff, 900)["t2"], 100)
	})
}

// Guards against a node that ends the caution of a sender whose own requests have failed, and against a returning target that keeps the
// share that it had before it failed again.
func TestEjectedTargetProvesItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPicker("a", 1)
		p.Update(newTargets(4, 40, "a"))
		p.SetPolicy(testBalance, time.Hour) // so that time does not end the ramp
		failPicks(p, "t0", 5)
		time.Sleep(10 * time.Second) // the failures no longer count in the score
		p.SetCondition("t0", Condition{Load: message.Load{Limit: 40, Pace: 1}})
		require.Less(t, countPicks(p, 1000)["t0"], 75)
		answered(p, 400)
		require.Greater(t, countPicks(p, 4000)["t0"], 800)
	})
}

// Guards against a flood of the first target that a starting node learns of while it is cautious with the others.
func TestStartingNodeLearnsOfTargetsOneByOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPicker("a", 1)
		for n := 1; n <= 5; n++ {
			p.Update(newTargets(n, 40, "a"))
			time.Sleep(learnTime / 10)
		}
		got := countPicks(p, 5000)
		for i := range 5 {
			require.InDelta(t, 1000, got[fmt.Sprint("t", i)], 150)
		}
	})
}
