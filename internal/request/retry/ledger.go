// Package retry bounds the retries of a root request over its whole call chain, and the retries to a service as a fraction
// of its first attempts.
package retry

import (
	"fmt"
	"sync"
)

// Ledger keeps the retry budget of one request at one node of its call chain. The node takes retries for its own attempts,
// hands shares down with the calls that it sends and gets the unused part back with the responses. At all times
// spent + handedDown + left equals the bound.
//
// A Ledger is safe for concurrent use, because a target may make several calls at once.
type Ledger struct {
	mu         sync.Mutex
	bound      int
	left       int // neither used nor handed down
	handedDown int // in shares that are not settled yet
	spent      int // used here, used below, or handed down with a call whose response was lost
}

// NewLedger returns a ledger with the given bound. A negative bound counts as zero.
func NewLedger(bound int) *Ledger {
	bound = max(bound, 0)
	return &Ledger{bound: bound, left: bound}
}

// Take uses one retry for an attempt of this hop and reports whether there was one.
func (l *Ledger) Take() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.left == 0 {
		return false
	}
	l.left--
	l.spent++
	return true
}

// GiveBack undoes a Take whose attempt was not made, because no target was left to send it to or the service's Bucket had no
// retry.
func (l *Ledger) GiveBack() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.left++
	l.spent--
}

// Share is the part of a budget that was handed down with one call. It must be settled once, by Return or Forfeit.
type Share struct {
	ledger *Ledger
	size   int
}

// HandDown moves the retries that are left to a call, but keeps one if there are several. Deep hops need retries most: a
// request that fails there wastes the work of all hops above. The retry that is kept lets this hop fail over when the
// response, and with it the share, is lost.
func (l *Ledger) HandDown() *Share { return l.handDown(1) }

// HandDownAll moves all retries that are left to a call. It is for a hop that makes no attempts of its own.
func (l *Ledger) HandDownAll() *Share { return l.handDown(0) }

func (l *Ledger) handDown(keep int) *Share {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.left
	if n > keep {
		n -= keep
	}
	l.left -= n
	l.handedDown += n
	return &Share{ledger: l, size: n}
}

// Size returns the number of retries in the share.
func (s *Share) Size() int { return s.size }

// Return settles the share with the unused part that came back with a response. A number outside the share's size is a fault
// of the peer and is clamped, so that a peer cannot create retries.
func (s *Share) Return(unused int) {
	s.settle(min(max(unused, 0), s.size))
}

// Forfeit settles the share of a call whose response was lost: all of it counts as spent.
func (s *Share) Forfeit() { s.settle(0) }

func (s *Share) settle(unused int) {
	l := s.ledger
	if l == nil {
		return
	}
	s.ledger = nil
	l.mu.Lock()
	defer l.mu.Unlock()
	l.handedDown -= s.size
	l.spent += s.size - unused
	l.left += unused
}

// Limit reduces the retries that are left to at most n and counts the rest as spent. It is called for each attempt of a caller,
// who states with it how many retries are left: attempts at other nodes may have used some since the last attempt at this node.
func (l *Ledger) Limit(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if over := l.left - max(n, 0); over > 0 {
		l.left -= over
		l.spent += over
	}
}

// Left returns the number of retries that are neither used nor handed down.
func (l *Ledger) Left() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.left
}

// Close empties the ledger at the end of the request and returns the retries that were left, for the response to the hop above,
// whose Share.Return counts them as unused. This ledger counts them as spent, so that its parts still add up to the bound.
// Retries in unsettled shares are not returned, so that they count as spent at the hop above.
func (l *Ledger) Close() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.left
	l.spent += n
	l.left = 0
	return n
}

// Check returns an error if the ledger's parts do not add up to its bound.
func (l *Ledger) Check() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.spent < 0 || l.handedDown < 0 || l.left < 0 || l.spent+l.handedDown+l.left != l.bound {
		return fmt.Errorf("retry ledger: spent %d + handed down %d + left %d != bound %d", l.spent, l.handedDown, l.left, l.bound)
	}
	return nil
}
