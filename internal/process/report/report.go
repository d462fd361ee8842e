// Package report tracks the state of the attached target, the process that serves the requests on the node's own
// VM, from its heartbeats: which instance runs, since when, and whether it accepts requests. Heartbeats can be late, out of
// order, duplicated, or from an instance that has ended.
//
// A Tracker is safe for concurrent use.
package report

import (
	"sync"
	"time"
)

// Phase is a target's readiness for requests.
type Phase uint8

// Phases of a target.
const (
	PhaseUnknown  Phase = iota
	PhaseReady          // accepts requests
	PhaseDraining       // accepts no new requests and completes those in flight
	PhaseGone           // has announced that it leaves
)

// String returns the name used in logs.
func (p Phase) String() string {
	return [...]string{"unknown", "ready", "draining", "gone"}[min(int(p), 3)]
}

// Report is one heartbeat of a target.
type Report struct {
	Instance string
	Born     int64 // start time of the instance, Unix milliseconds; orders instances
	Sequence int64 // increases with each report of an instance
	Service  string
	Address  string
	Phase    Phase
	Slots    int           // requests that the target runs concurrently
	Warmup   time.Duration // how much longer the target is slow after its start
}

// State is the last known state of the target.
type State struct {
	Report
	At time.Time // arrival of the last report that was not ignored, or of the leave
}

// Verdict is the effect of a report.
type Verdict uint8

const (
	Ignored  Verdict = iota // late, duplicated, or from an instance that has ended
	Renewed                 // only the time of the last report changed
	Changed                 // the phase or the number of slots changed
	Replaced                // the report is from a new instance
)

// reportTimeout is the time without a report after which the target no longer counts as ready. At one report each 1.5 s,
// it tolerates two lost reports and one that is late by seconds.
const reportTimeout = 8 * time.Second

// overdueAfter is the time without a report after which a ready target is probed: one report is overdue by more than the
// usual delay.
const overdueAfter = 2500 * time.Millisecond

// Tracker keeps the latest state of the target.
type Tracker struct {
	mu       sync.Mutex
	state    State
	departed map[string]int64 // start times of instances that have left
	leaving  map[string]int64 // start times of instances that have said in a response that they leave
}

// NewTracker returns a tracker that knows of no target.
func NewTracker() *Tracker {
	return &Tracker{departed: map[string]int64{}, leaving: map[string]int64{}}
}

// Observe updates the state with a report and returns its effect.
func (t *Tracker) Observe(r Report, now time.Time) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	if born, ok := t.departed[r.Instance]; ok && r.Born <= born {
		return Ignored
	}
	if born, ok := t.leaving[r.Instance]; ok && r.Born <= born && r.Phase == PhaseReady {
		r.Phase = PhaseDraining
	}
	have := &t.state
	same := have.Instance == r.Instance && have.Born == r.Born
	switch {
	case have.Instance == "":
		t.state = State{r, now}
		return Replaced
	case same && r.Sequence <= have.Sequence, !same && r.Born < have.Born:
		return Ignored
	case !same && r.Born == have.Born && r.Instance < have.Instance:
		return Ignored // both started in the same millisecond: every node prefers the same one, whichever report arrives first
	case !same:
		t.state = State{r, now}
		return Replaced
	}
	verdict := Renewed
	if have.Phase != r.Phase || have.Slots != r.Slots {
		verdict = Changed
	}
	t.state = State{r, now}
	return verdict
}

// Leave records that an instance has left. It reports whether that changed the state.
func (t *Tracker) Leave(instance string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.state.Instance != instance {
		return false
	}
	t.departed[instance] = t.state.Born
	changed := t.state.Phase != PhaseGone
	t.state.Phase, t.state.At = PhaseGone, now
	return changed
}

// Drain records that an instance has said in a response that it leaves, whatever its reports say. It reports whether that changed
// the state.
func (t *Tracker) Drain(instance string, born int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaving[instance] = max(t.leaving[instance], born)
	if t.state.Instance != instance || t.state.Born != born || t.state.Phase == PhaseDraining || t.state.Phase == PhaseGone {
		return false
	}
	t.state.Phase = PhaseDraining
	return true
}

// Restore applies what other nodes know of the target from before a restart of this node. It can only make the state
// stricter: an old report must not make a leaving instance ready again.
func (t *Tracker) Restore(instance string, born, sequence int64, phase Phase) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if phase != PhaseDraining && phase != PhaseGone {
		return false
	}
	if phase == PhaseGone {
		t.departed[instance] = max(t.departed[instance], born)
	}
	have := &t.state
	same := have.Instance == instance && have.Born == born
	if have.Instance == "" || same && have.Phase == PhaseReady && (have.Sequence <= sequence || phase == PhaseGone) {
		t.state.Instance, t.state.Born, t.state.Phase = instance, born, phase
		t.state.Sequence = max(t.state.Sequence, sequence)
		return true
	}
	return false
}

// Overdue reports whether the last report said ready and arrived more than overdueAfter ago. It stays true after
// reportTimeout.
func (t *Tracker) Overdue(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state.Phase == PhaseReady && now.Sub(t.state.At) > overdueAfter
}

// State returns the state at the given time. A ready target without a report for reportTimeout is in PhaseUnknown.
func (t *Tracker) State(now time.Time) State {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state
	if s.Phase == PhaseReady && now.Sub(s.At) > reportTimeout {
		s.Phase = PhaseUnknown
	}
	return s
}
