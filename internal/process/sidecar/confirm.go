package sidecar

import (
	"sync"
	"time"
)

const (
	// confirmationPeers is the number of nodes that are asked to confirm that they know of a drain. The acknowledgement
	// of the drain waits at most confirmTimeout for the first confirmation; the target allows one second for it.
	confirmationPeers = 3
	confirmTimeout    = 200 * time.Millisecond
)

// confirmedRevision is the newest revision of this node's own entry that another node has confirmed. It is safe for
// concurrent use.
type confirmedRevision struct {
	mu       sync.Mutex
	revision uint64
	changed  chan struct{} // closed at the next confirmation; nil if nothing waits
}

// record records that another node knows the revision.
func (c *confirmedRevision) record(revision uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if revision <= c.revision {
		return
	}
	c.revision = revision
	if c.changed != nil {
		close(c.changed)
		c.changed = nil
	}
}

// wait waits until another node has confirmed the revision, and reports whether that happened within the limit.
func (c *confirmedRevision) wait(revision uint64, limit time.Duration) bool {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		c.mu.Lock()
		if c.revision >= revision {
			c.mu.Unlock()
			return true
		}
		if c.changed == nil {
			c.changed = make(chan struct{})
		}
		changed := c.changed
		c.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			return false
		}
	}
}

// awaitDrainConfirmation waits until another node knows that the target is leaving, but at most for the given time. If this node
// crashes right after the acknowledgement, the other one tells it of the drain after its restart also while the store is away, and
// sends the target no requests.
func (s *Sidecar) awaitDrainConfirmation(limit time.Duration) {
	own := s.directory.Self()
	if !own.TargetLeaving() {
		return
	}
	if zone, others := s.directory.Neighbours(); len(zone) == 0 && len(others) == 0 {
		return // there is no other node to confirm it
	}
	s.confirmed.wait(own.Revision, limit)
}
