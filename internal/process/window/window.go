// Package window bounds the requests of one kind that run at a target while the calls that they make have to wait.
//
// In an overload of a deeper service every call of a chain waits. If more chains run than that service can carry, all of them
// pass their deadlines and its work is lost. The thresholds that come back with answers cannot prevent this: they are as old
// as a chain is long. A Window counts the runs in progress instead, so that a run starts when another ends.
//
// A Window is safe for concurrent use. Its mutex is held for a few steps.
package window

import (
	"sync"
	"time"
)

const (
	// slackShare is the part of the time that a run can spare which its calls may spend waiting for slots before fewer runs may
	// start. Without any waiting, the slots of the deeper services would stand idle between calls; the rest is for runs that
	// take longer than others.
	slackShare = 0.35
	// initialGoal is the waiting of calls, as a share of the rest of their time, that is allowed until a run has ended.
	initialGoal = 0.3
	// minGoal is the least waiting that is allowed: kinds of requests that can spare no time run one by one otherwise.
	minGoal = 0.1
	// runsAveraged is the number of runs over which their times are averaged.
	runsAveraged = 16
	// refusedCost is the waiting that a refused call counts for, as a share of the time of a call.
	refusedCost = 1.0
	// roundCalls is the number of calls after which the limit is adjusted: a part of a chain, so that a surge is seen before
	// its first chains have ended. A smaller limit is adjusted after as many calls as runs, so that it soon grows again.
	roundCalls = 8
	// minDecreaseFactor bounds the decrease of one round.
	minDecreaseFactor = 0.7
	// growth is the increase of a round in which runs were refused, as a share of the limit. It falls to zero at the goal.
	growth = 0.1
	// idleGrowth is the same while calls wait for less than idleShare of the goal: the overload is over.
	idleGrowth = 0.5
	idleShare  = 0.1
	// minLimit keeps a run in progress that shows when the overload ends.
	minLimit = 1
)

// Window is the bound on the runs in progress of one kind of request. Its zero value has no limit until calls wait.
type Window struct {
	mu      sync.Mutex
	limit   float64 // zero: none
	running int

	// Averages of runs that have ended.
	spareTime       float64 // seconds that a run could have waited and still have ended in time
	callServiceTime float64 // seconds that the calls of a run take without waiting; zero: no run has ended

	// The present round.
	peak        int  // most runs in progress
	runRefused  bool // a run was refused
	calls       int
	refused     int     // calls
	queueTime   float64 // seconds of all calls, for slots
	serviceTime float64 // the rest of their time
}

// RunStats are the measurements of a run that has ended.
type RunStats struct {
	Elapsed         time.Duration
	TimeAllowed     time.Duration // time within which the run should have ended
	CallQueueTime   time.Duration // time for which its calls waited for slots
	CallServiceTime time.Duration // the rest of the time of its calls
	Completed       bool          // it was not cut short
}

// TryStart starts a run if the limit allows it, and reports whether it does. A run that has started is ended by Finish.
func (w *Window) TryStart() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.limit > 0 && float64(w.running+1) > w.limit {
		w.runRefused = true
		return false
	}
	w.running++
	w.peak = max(w.peak, w.running)
	return true
}

// Finish ends a run.
func (w *Window) Finish(r RunStats) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running--
	if r.Elapsed > 0 && r.CallServiceTime <= 0 && r.CallQueueTime <= 0 {
		w.addCall(r.Elapsed, 0) // it made no calls, so none had to wait
		return
	}
	if !r.Completed || r.CallServiceTime <= 0 {
		return
	}
	spareTime, callServiceTime := (r.TimeAllowed - r.Elapsed + r.CallQueueTime).Seconds(), r.CallServiceTime.Seconds()
	if w.callServiceTime == 0 {
		w.spareTime, w.callServiceTime = spareTime, callServiceTime
		return
	}
	w.spareTime += (spareTime - w.spareTime) / runsAveraged
	w.callServiceTime += (callServiceTime - w.callServiceTime) / runsAveraged
}

// waitGoal returns the time that calls may wait, as a share of the rest of their time.
func (w *Window) waitGoal() float64 {
	if w.callServiceTime == 0 {
		return initialGoal
	}
	return max(minGoal, slackShare*w.spareTime/w.callServiceTime)
}

// RecordCall records the end of a call of a run: its whole time, the part of it in which it waited for slots, and whether it
// was refused because no slot was free.
func (w *Window) RecordCall(took, waited time.Duration, refused bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if refused {
		w.refused++
	}
	w.addCall(took, waited)
}

// addCall adds a call to the round, and ends the round if it has enough.
func (w *Window) addCall(took, waited time.Duration) {
	waited = min(waited, took)
	w.calls++
	w.queueTime += waited.Seconds()
	w.serviceTime += (took - waited).Seconds()
	if w.calls >= roundCalls || w.limit > 0 && float64(w.calls) >= w.limit {
		w.adjust()
	}
}

// waitRatio returns the time that the calls of the round have waitRatio, as a share of the rest of their time.
func (w *Window) waitRatio() float64 {
	share := refusedCost * float64(w.refused) / float64(w.calls)
	if w.serviceTime > 0 {
		share += w.queueTime / w.serviceTime
	}
	return share
}

// adjust ends a round.
func (w *Window) adjust() {
	waitRatio, waitGoal := w.waitRatio(), w.waitGoal()
	switch {
	case waitRatio > waitGoal:
		reached := float64(w.peak)
		if w.limit > 0 {
			reached = min(reached, w.limit)
		}
		w.limit = max(minLimit, reached*max(minDecreaseFactor, (1+waitGoal)/(1+waitRatio)))
	case w.runRefused && waitRatio < idleShare*waitGoal:
		w.limit += max(1, idleGrowth*w.limit)
	case w.runRefused:
		w.limit += max(1, growth*w.limit) * (1 - waitRatio/waitGoal)
	}
	w.peak, w.runRefused = w.running, false
	w.calls, w.refused, w.queueTime, w.serviceTime = 0, 0, 0, 0
}
