// Package report keeps what the target beside a node says of itself: which instance runs, since when, and whether it takes
// work. Its heartbeats can be late, out of order, repeated, or from an
// instance that has ended.
//
// A Tracker is safe for concurrent use.
package report

import (
	"sync"
	"time"
)

// Phase says whether a target takes work.
type Phase uint8

// Phases of a target.
const (
	PhaseUnknown  Phase = iota
	PhaseReady          // takes work
	PhaseDraining       // takes no new work and ends what it has
	PhaseGone           // has said that it leaves
)

// String returns the name used in logs.
func (p Phase) String() string {
	return [...]string{"unknown", "ready", "draining", "gone"}[min(int(p), 3)]
}

// Report is one heartbeat of a target: what it says of itself.
type Report struct {
	Instance string
	Born     int64 // start of the instance, Unix milliseconds; orders instances
	Sequence int64 // rises with each report of an instance
	Service  string
	Address  string
	Phase    Phase
	Slots    int           // requests that the target runs at once
	Warmup   time.Duration // how much longer the target is slow after its start
}

// State is what is known of the target.
type State struct {
	Report
	At time.Time // arrival of the last report that counted
}

// Verdict says what became of a report.
type Verdict uint8

// Verdicts on reports.
const (
	Ignored  Verdict = iota // late, repeated, or of an instance that has ended
	Renewed                 // nothing changed but its age
	Changed                 // the state changed
	Replaced                // another instance runs
)

// reportTimeout is the silence after which the target no longer counts as ready: two reports lost and one late by seconds, with a
// report every 1.5 s.
const reportTimeout = 8 * time.Second

// overdueAfter is the silence after which a ready target is worth a look: one report is overdue by more than the usual delay.
const overdueAfter = 2500 * time.Millisecond

// Tracker keeps the newest state of the target.
type Tracker struct {
	mu       sync.Mutex
	state    State
	departed map[string]int64 // start of instances that said that they leave
}

// NewTracker returns a tracker that knows of no target.
func NewTracker() *Tracker { return &Tracker{departed: map[string]int64{}} }

// Observe takes a report.
func (t *Tracker) Observe(r Report, now time.Time) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	if born, ok := t.departed[r.Instance]; ok && r.Born <= born {
		return Ignored
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
		return Ignored // two instances of one millisecond: one of them must win everywhere
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

// Leave records that an instance leaves. It reports whether that changed the state.
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

// Restore takes what other nodes remember of the target beside this node, after a restart. It only ever makes the state
// stricter: an instance that was leaving is not ready again because of an old report.
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

// Overdue reports whether a ready target has not reported for longer than a usual delay, but not yet long enough to lapse.
func (t *Tracker) Overdue(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state.Phase == PhaseReady && now.Sub(t.state.At) > overdueAfter
}

// State returns the state. A target that has been silent for too long is not ready.
func (t *Tracker) State(now time.Time) State {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state
	if s.Phase == PhaseReady && now.Sub(s.At) > reportTimeout {
		s.Phase = PhaseUnknown
	}
	return s
}
