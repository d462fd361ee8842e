package membership

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

// Target describes what a node's local target serves.
type Target struct {
	Service string
	Slots   int   // requests that it runs at once
	State   State // Starting, Ready or Draining
}

// Announcement is the state that a local target reports to its node.
type Announcement struct {
	Target
	Lease time.Duration // time after which the announcement lapses unless it is renewed
}

// Limits of the lease of an announcement. A shorter lease would lapse between two renewals on a busy VM; a longer one
// would keep sending requests to a target that no longer runs.
const (
	MinLease = time.Second
	MaxLease = 5 * time.Minute
)

// ErrAnnouncement reports an announcement that the node does not accept.
var ErrAnnouncement = errors.New("invalid announcement")

// Announcements holds the last announcement of the local target. It is safe for concurrent use.
type Announcements struct {
	mu      sync.Mutex
	target  Target
	until   time.Time
	started bool // an announcement was accepted
}

// Announce replaces or renews the announcement of the target.
func (a *Announcements) Announce(now time.Time, n Announcement) error {
	switch {
	case n.Service == "" || len(n.Service) > maxText:
		return fmt.Errorf("%w: service of %d bytes", ErrAnnouncement, len(n.Service))
	case n.Slots <= 0:
		return fmt.Errorf("%w: %d slots", ErrAnnouncement, n.Slots)
	case n.State < Starting || n.State > Draining:
		return fmt.Errorf("%w: state %q", ErrAnnouncement, n.State)
	case n.Lease < MinLease || n.Lease > MaxLease:
		return fmt.Errorf("%w: lease of %v", ErrAnnouncement, n.Lease)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.target, a.until, a.started = n.Target, now.Add(n.Lease), true
	return nil
}

// Current returns what the target announced last. Once the lease has lapsed, the state is Starting, so that no node
// sends requests to the target; service and slots are kept, because the same target usually comes back. lapsed is false
// if no announcement was ever accepted.
func (a *Announcements) Current(now time.Time) (t Target, lapsed bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	t = a.target
	if !a.started || !now.Before(a.until) {
		t.State = Starting
		return t, a.started
	}
	return t, false
}
