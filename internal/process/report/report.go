// Package report tracks the state of the attached target, the process that serves the requests on the node's own
// VM, from its heartbeats: which instance runs, since when, and whether it accepts requests. Heartbeats can be late, out of
// order, duplicated, or from an instance that has ended.
//
// A Tracker is safe for concurrent use.
package report

import (
	"cmp"
	"errors"
	"slices"
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

// ErrUnavailable is returned for a report or a leave that takes effect but cannot be acknowledged at present.
var ErrUnavailable = errors.New("cannot be acknowledged at present")

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

// Leaving is what is known of an instance that leaves or has left. It holds whatever arrives of the instance later, unless that shows
// a later start or, while it only drains, a later change of mind.
type Leaving struct {
	Instance string `cbor:"1,keyasint"`
	Born     int64  `cbor:"2,keyasint"` // see Report
	Sequence int64  `cbor:"3,keyasint"` // of the newest report that said so; see Report
	Phase    Phase  `cbor:"4,keyasint"` // PhaseDraining or PhaseGone
}

// outdates reports whether the report was sent before the instance began to leave.
func (l Leaving) outdates(r Report) bool {
	switch {
	case r.Born != l.Born:
		return r.Born < l.Born
	case l.Phase == PhaseGone:
		return true
	default:
		return r.Phase == PhaseReady && r.Sequence <= l.Sequence
	}
}

// stricter returns the one of two that describes the later state of the same instance.
func (l Leaving) stricter(other Leaving) Leaving {
	if cmp.Or(cmp.Compare(l.Born, other.Born), cmp.Compare(l.Phase, other.Phase), cmp.Compare(l.Sequence, other.Sequence)) < 0 {
		return other
	}
	return l
}

// maxLeavings bounds the instances that are remembered after they have left. Few follow each other at one address while late
// reports of them can arrive.
const maxLeavings = 4

// MergeLeavings adds what is known of an instance to a list, which is ordered from the latest addition to the earliest. It reports
// whether the list has changed.
func MergeLeavings(list []Leaving, l Leaving) (merged []Leaving, changed bool) {
	at := slices.IndexFunc(list, func(x Leaving) bool { return x.Instance == l.Instance })
	if at >= 0 {
		if l = l.stricter(list[at]); l == list[at] {
			return list, false
		}
		list = slices.Delete(slices.Clone(list), at, at+1)
	}
	list = slices.Insert(slices.Clone(list), 0, l)
	return list[:min(len(list), maxLeavings)], true
}

// MergeAllLeavings adds a list to another one, and reports whether that has changed.
func MergeAllLeavings(list, added []Leaving) (merged []Leaving, changed bool) {
	for i := len(added) - 1; i >= 0; i-- { // the latest addition comes first
		next, ok := MergeLeavings(list, added[i])
		list, changed = next, changed || ok
	}
	return list, changed
}

// Tracker keeps the latest state of the target.
type Tracker struct {
	mu       sync.Mutex
	state    State
	leavings []Leaving        // what this process, or another one before it, has been told
	drain    Leaving          // the newest report of a drain, if no report since the one in leavings is missing
	leaving  map[string]int64 // start times of instances that have said in a response that they leave
}

// NewTracker returns a tracker that knows of no target.
func NewTracker() *Tracker {
	return &Tracker{leaving: map[string]int64{}}
}

// Observe updates the state with a report and returns its effect.
func (t *Tracker) Observe(r Report, now time.Time) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l, ok := t.leavingLocked(r.Instance); ok && l.outdates(r) {
		return Ignored
	}
	if r.Phase == PhaseDraining {
		t.observeDrainLocked(Leaving{r.Instance, r.Born, r.Sequence, PhaseDraining})
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
	case same && r.Sequence <= have.Sequence:
		return Ignored
	case !same && r.Born < have.Born && have.Phase != PhaseGone: // the clock may have been set back since an instance that has left
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

// observeDrainLocked learns of a drain. Further reports of the same drain add nothing unless one is missing before them, which may have
// ended it.
func (t *Tracker) observeDrainLocked(l Leaving) {
	next := t.drain
	next.Sequence++
	if t.drain.Instance == "" || l != next {
		t.learnLocked(l)
	}
	t.drain = l
}

func (t *Tracker) leavingLocked(instance string) (Leaving, bool) {
	for _, l := range t.leavings {
		if l.Instance == instance {
			return l, true
		}
	}
	return Leaving{}, false
}

func (t *Tracker) learnLocked(l Leaving) { t.leavings, _ = MergeLeavings(t.leavings, l) }

// Leave records that an instance has left, also one of which this process has heard nothing: it may have reported to an earlier
// process. The start time is that of the instance, Unix milliseconds, or zero if it is not stated; then every process that has
// started until now under the instance's ID has left. Leave reports whether it changed the state.
func (t *Tracker) Leave(instance string, born int64, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	have := &t.state
	current := have.Instance == instance
	stated := born != 0
	switch {
	case !stated && current:
		born = have.Born
	case !stated:
		born = now.UnixMilli()
	}
	t.learnLocked(Leaving{instance, born, 0, PhaseGone})
	switch {
	case current && born >= have.Born:
		changed := have.Phase != PhaseGone
		have.Born, have.Phase, have.At = born, PhaseGone, now
		return changed
	case have.Instance == "", born > have.Born && (stated || have.Phase == PhaseGone): // the latest one that ran at the address
		t.state = State{Report{Instance: instance, Born: born, Phase: PhaseGone}, now}
		return true
	}
	return false
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

// Restore applies what is known of the target from before a restart of this node. It can only make the state stricter: an old
// report must not make a leaving instance ready again.
func (t *Tracker) Restore(instance string, born, sequence int64, phase Phase) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if phase != PhaseDraining && phase != PhaseGone {
		return false
	}
	l := Leaving{instance, born, sequence, phase}
	t.learnLocked(l)
	have := &t.state
	if have.Instance == "" || have.Instance == l.Instance && l.outdates(have.Report) {
		have.Instance, have.Born, have.Phase = l.Instance, l.Born, l.Phase
		have.Sequence = max(have.Sequence, l.Sequence)
		return true
	}
	return false
}

// Leavings returns what is known of instances that leave or have left, the latest first.
func (t *Tracker) Leavings() []Leaving {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.leavings
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
