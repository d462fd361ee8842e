// Package freshness decides whether a node knows that its configuration was the newest one a short time ago. Withdrawn keys must
// not be accepted later than a limit after their withdrawal, also at nodes that are cut off, frozen or restarted: such a node does
// not learn of a newer configuration, so it stops accepting keys once its last confirmation is too old.
//
// A confirmation states that at a given moment no configuration newer than the one with the given stamp had been written. It
// therefore holds for each newer configuration too. Moments are readings of a clock that goes on while the process or the VM is
// suspended; they are arguments, so the package uses no clock and no network.
//
// The load pattern is one check for each request with a key and few confirmations a second: checks read an atomic snapshot.
//
// All methods are safe for concurrent use.
package freshness

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/version/routing"
)

const (
	// acceptShare is the share of the limit for which a confirmation is good. The rest is a margin for clocks of different speeds.
	acceptShare = 0.9
	// askShare is the share of the limit from which a node asks for another confirmation, and goodShare the one up to which an
	// answer is useful: a node with an older confirmation has probably lost its own source.
	askShare  = 0.2
	goodShare = 0.45
	// preferShare is the share of the limit from which an answer shows that the node that gave it does not follow the store. Such a node is
	// not asked again at once: ages would add up among nodes that ask each other.
	preferShare = 0.35
	// storeShare is the share of the limit without any confirmation from which a node asks the store itself.
	storeShare = 0.4
	// minAskInterval is the shortest time between two questions of a node.
	minAskInterval = time.Second
	// maxAge bounds the age that an answer can state. A larger one is from a faulty clock.
	maxAge = time.Hour
)

// Moment is a reading of the clock, as the time since its origin.
type Moment = time.Duration

// state is what a Tracker knows. It is not changed once it is published.
type state struct {
	own       routing.Stamp // of the configuration in force
	confirmed bool
	at        Moment // of the last confirmation, if confirmed

	// later is a confirmation of a configuration that is newer than the one in force and counts as soon as that is in force.
	later      routing.Stamp
	laterAt    Moment
	laterKnown bool
}

// Tracker holds the confirmations of one process. A new one has none.
type Tracker struct {
	limit time.Duration

	mu      sync.Mutex // serialises changes
	current atomic.Pointer[state]
	invalid atomic.Int64
}

// New returns a tracker for the given time after which a withdrawn key must not be accepted any more.
func New(limit time.Duration) *Tracker {
	t := &Tracker{limit: limit}
	t.current.Store(&state{})
	return t
}

func (t *Tracker) share(s float64) time.Duration { return time.Duration(s * float64(t.limit)) }

// change publishes a changed copy of the state.
func (t *Tracker) change(f func(*state)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := *t.current.Load()
	f(&next)
	t.current.Store(&next)
}

// InForce records the configuration that is in force. It must be called after the configuration has come into force, so that no
// request that is checked afterwards uses an earlier one.
func (t *Tracker) InForce(stamp routing.Stamp) {
	t.change(func(s *state) {
		if s.own.NewerThan(stamp) {
			return // a concurrent call has recorded a newer one
		}
		s.own = stamp
		if s.laterKnown && !s.later.NewerThan(stamp) {
			s.confirm(s.laterAt)
			s.laterKnown = false
		}
	})
}

// Confirm records that at the given moment no configuration newer than the one with the stamp had been written. A moment after
// now, or before the origin of the clock, is not recorded.
func (t *Tracker) Confirm(stamp routing.Stamp, at, now Moment) {
	if at < 0 || at > now {
		t.invalid.Add(1)
		return
	}
	t.change(func(s *state) {
		switch {
		case !stamp.NewerThan(s.own):
			s.confirm(at)
		case !s.laterKnown || stamp.NewerThan(s.later):
			s.later, s.laterAt, s.laterKnown = stamp, at, true
		case !s.later.NewerThan(stamp):
			s.laterAt = max(s.laterAt, at)
		}
	})
}

func (s *state) confirm(at Moment) {
	if !s.confirmed || at > s.at {
		s.confirmed, s.at = true, at
	}
}

// ConfirmAnswered records the answer of another node to a question that was sent at the moment asked: the node's configuration has
// the stamp, and its confirmation had the given age. The age is counted from the question on, which is earlier than the answer.
func (t *Tracker) ConfirmAnswered(stamp routing.Stamp, age time.Duration, asked, now Moment) {
	if age < 0 || age > maxAge {
		t.invalid.Add(1)
		return
	}
	if at := asked - age; at >= 0 { // else the confirmation is older than the clock
		t.Confirm(stamp, at, now)
	}
}

// Accepts reports whether keys are accepted by the configuration with the stamp.
func (t *Tracker) Accepts(stamp routing.Stamp, now Moment) bool {
	s := t.current.Load()
	age, ok := s.age(now)
	return ok && age < t.share(acceptShare) && !s.own.NewerThan(stamp)
}

// Age returns the age of the last confirmation. It reports false if there is none.
func (t *Tracker) Age(now Moment) (time.Duration, bool) { return t.current.Load().age(now) }

func (s *state) age(now Moment) (time.Duration, bool) {
	if !s.confirmed || now < s.at {
		return 0, false
	}
	return now - s.at, true
}

// Answer returns what this node tells one that asks: the stamp of its configuration and the age of its confirmation. It reports
// false if it has no confirmation.
func (t *Tracker) Answer(now Moment) (routing.Stamp, time.Duration, bool) {
	s := t.current.Load()
	age, ok := s.age(now)
	return s.own, age, ok
}

// Invalid returns the number of confirmations that were not recorded because their moment or age was impossible.
func (t *Tracker) Invalid() int64 { return t.invalid.Load() }

// PollWait returns the time for which a follower that others ask may wait for a change in one call of the store, at most longest.
func (t *Tracker) PollWait(longest time.Duration) time.Duration {
	const pollShare = 0.16 // a follower's confirmation is then at most a third of the limit old
	return min(longest, t.share(pollShare))
}
