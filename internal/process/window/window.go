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
	// waitGoal is the time that calls wait for slots, as a share of the rest of their time, up to which more runs may
	// start. Without any waiting, the slots of the deeper services would stand idle between calls.
	waitGoal = 0.3
	// refusedCost is the waiting that a refused call counts for, as a share of the time of a call.
	refusedCost = 1.0
	// roundCalls is the number of calls after which the limit is adjusted: a part of a chain, so that a surge is seen before
	// its first chains have ended. A smaller limit is adjusted after as many calls as runs, so that it soon grows again.
	roundCalls = 8
	// minFactor bounds the decrease of one round.
	minFactor = 0.7
	// growth is the increase of a round in which runs were refused, as a share of the limit. It falls to zero at waitGoal.
	growth = 0.1
	// idleGrowth is the same while calls wait for less than idleWait: the overload is over.
	idleGrowth = 0.5
	idleWait   = waitGoal / 10
	// minLimit keeps a run in progress that shows when the overload ends.
	minLimit = 1
)

// Window is the bound on the runs in progress of one kind of request. Its zero value has no limit until calls wait.
type Window struct {
	mu      sync.Mutex
	limit   float64 // zero: none
	running int

	// The present round.
	peak    int  // most runs in progress
	full    bool // a run was refused
	calls   int
	refused int           // calls
	waited  time.Duration // of all calls, for slots
	worked  time.Duration // the rest of their time
}

// Enter starts a run and reports whether it may. A run that has started is ended by Leave.
func (w *Window) Enter() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.limit > 0 && float64(w.running+1) > w.limit {
		w.full = true
		return false
	}
	w.running++
	w.peak = max(w.peak, w.running)
	return true
}

// Leave ends a run.
func (w *Window) Leave() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running--
}

// Call records the end of a call of a run: its whole time, the part of it in which it waited for slots, and whether it was
// refused for want of one.
func (w *Window) Call(took, waited time.Duration, refused bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	waited = min(waited, took)
	w.calls++
	w.waited += waited
	w.worked += took - waited
	if refused {
		w.refused++
	}
	if w.calls >= roundCalls || w.limit > 0 && float64(w.calls) >= w.limit {
		w.adjust()
	}
}

// waiting returns the time that the calls of the round have waited, as a share of the rest of their time.
func (w *Window) waiting() float64 {
	share := refusedCost * float64(w.refused) / float64(w.calls)
	if w.worked > 0 {
		share += float64(w.waited) / float64(w.worked)
	}
	return share
}

// adjust ends a round.
func (w *Window) adjust() {
	waiting := w.waiting()
	switch {
	case waiting > waitGoal:
		reached := float64(w.peak)
		if w.limit > 0 {
			reached = min(reached, w.limit)
		}
		w.limit = max(minLimit, reached*max(minFactor, (1+waitGoal)/(1+waiting)))
	case w.full && waiting < idleWait:
		w.limit += max(1, idleGrowth*w.limit)
	case w.full:
		w.limit += max(1, growth*w.limit) * (1 - waiting/waitGoal)
	}
	w.peak, w.full = w.running, false
	w.calls, w.refused, w.waited, w.worked = 0, 0, 0, 0
}
