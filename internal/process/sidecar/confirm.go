package sidecar

import (
	"sync"
	"time"
)

const (
	// confirmationPeers is the number of nodes that are asked to confirm that they know of a drain, and confirmTime the longest time
	// for which its acknowledgement waits for the first of them. The target takes an acknowledgement within a second.
	confirmationPeers = 3
	confirmTimeout    = 200 * time.Millisecond
)

// confirmedRevision is the newest revision of this node's own entry that another node has confirmed. It is safe for concurrent use.
type confirmedRevision struct {
	mu       sync.Mutex
	revision uint64
	changed  chan struct{} // closed at the next confirmation; nil while nobody waits
}

// record notes that another node knows the revision.
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

// wait waits until another node knows the revision, and reports whether one does before the time is over.
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

// awaitDrainConfirmation waits until another node knows that the target leaves. The acknowledgement that follows binds this node even
// if it loses its memory right after it.
func (s *Sidecar) awaitDrainConfirmation() {
	own := s.directory.Self()
	if !own.TargetLeaving() {
		return
	}
	if zone, others := s.directory.Neighbours(); len(zone) == 0 && len(others) == 0 {
		return // nobody could know
	}
	s.confirmed.wait(own.Revision, confirmTimeout)
}
