// Package window limits the concurrent runs of a route at a target while the calls that the runs make have to wait for slots. A
// Window is a congestion window: its limit adapts to the share of time that calls spend waiting.
//
// A run is a request in progress at the target, its calls are the requests that the target makes to other services for it, and a
// chain is a run that is not itself a call, with all calls that result from it. When a downstream service is overloaded, every
// call to it waits. If more chains are in progress than that service can process, all of them exceed their deadlines and its work
// is wasted. The shedding thresholds that return with responses cannot prevent this, because they lag by the duration of a chain.
// A Window counts the runs in progress instead, so that at the limit a run starts only when another ends.
//
// A Window is safe for concurrent use. Its mutex is held only for short computations.
package window

import (
	"sync"
	"time"
)

const (
	// slackShare is the share of a run's spare time that its calls may spend waiting for slots before the limit is lowered.
	// Without any waiting, slots of the downstream services would be idle between calls. The rest of the spare time is a reserve
	// for runs that take longer than the average.
	slackShare = 0.35
	// initialGoal is the allowed ratio of the calls' queue time to their service time until a completed run has been measured.
	initialGoal = 0.3
	// minGoal is the lowest ratio that is allowed. Without it, requests of a route that has no spare time would run one at a
	// time.
	minGoal = 0.1
	// runsAveraged is the number of runs over which spare and service times are averaged.
	runsAveraged = 16
	// refusedCost is the queue time for which a refused call counts, as a multiple of the service time of a call.
	refusedCost = 1.0
	// roundCalls is the number of calls in a round, after which the limit is adjusted. The calls of all runs of the route count
	// together. The number is low, below that of a long chain, so that a surge is detected before its first chains have ended. A
	// limit below roundCalls is adjusted after as many calls as the limit allows runs, so that it grows again soon.
	roundCalls = 8
	// minDecreaseFactor bounds how much one round may lower the limit.
	minDecreaseFactor = 0.7
	// growth is the increase of the limit after a round in which runs were refused, as a share of the limit. It falls linearly to
	// zero as the waiting approaches the goal.
	growth = 0.1
	// idleGrowth replaces growth while the waiting is below idleShare of the goal, which means that the overload is over.
	idleGrowth = 0.5
	idleShare  = 0.1
	// minLimit lets at least one run proceed: its calls show when the overload ends.
	minLimit = 1
)

// Window limits the runs in progress of one route. Its zero value has no limit until calls wait.
type Window struct {
	mu      sync.Mutex
	limit   float64 // highest number of runs in progress; zero: no limit
	running int

	// Averages of completed runs that made calls.
	spareTime       float64 // seconds that the calls of a run could have waited with the run still ending in time
	callServiceTime float64 // seconds that the calls of a run take without waiting; zero: no run measured yet

	// The current round.
	peak        int  // most runs in progress
	runRefused  bool // a run was refused
	calls       int
	refused     int     // calls that were refused because no slot was free
	queueTime   float64 // seconds for which calls waited for slots
	serviceTime float64 // seconds that the calls took without this wait
}

// RunStats are the measurements of a run that has ended.
type RunStats struct {
	Elapsed         time.Duration
	TimeAllowed     time.Duration // time within which the run should have ended
	CallQueueTime   time.Duration // time for which its calls waited for slots
	CallServiceTime time.Duration // time that its calls took without this wait
	Completed       bool          // the target answered without a failure
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

// Finish ends a run and records its measurements. The zero RunStats records none.
func (w *Window) Finish(r RunStats) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running--
	if r.Elapsed > 0 && r.CallServiceTime <= 0 && r.CallQueueTime <= 0 {
		w.addCall(r.Elapsed, 0) // it made no calls: counts as one that did not wait, so that the limit can rise
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

// waitGoal returns the allowed ratio of the calls' queue time to their service time.
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

// addCall adds a call to the round, and ends the round when it has enough calls.
func (w *Window) addCall(took, waited time.Duration) {
	waited = min(waited, took)
	w.calls++
	w.queueTime += waited.Seconds()
	w.serviceTime += (took - waited).Seconds()
	if w.calls >= roundCalls || w.limit > 0 && float64(w.calls) >= w.limit {
		w.adjust()
	}
}

// waitRatio returns the ratio of queue time to service time of the calls of the round. Refused calls add to it by refusedCost.
func (w *Window) waitRatio() float64 {
	ratio := refusedCost * float64(w.refused) / float64(w.calls)
	if w.serviceTime > 0 {
		ratio += w.queueTime / w.serviceTime
	}
	return ratio
}

// adjust ends a round: it lowers the limit if the calls of the round waited for more than the goal, or else raises it if runs were
// refused, and starts the next round.
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
