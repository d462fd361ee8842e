// Package retry bounds the retries of a root request over its whole call chain, and the retries of a service as a share
// of its first attempts.
package retry

import (
	"fmt"
	"sync"
)

// Ledger is the retry budget of one request at one hop. The hop takes retries for its own attempts, hands shares down
// with its calls and gets the unused part back with the answers. At all times spent + held + left equals the bound.
//
// A Ledger is safe for concurrent use, because a target may make several calls at once.
type Ledger struct {
	mu    sync.Mutex
	bound int
	left  int // neither used nor handed out
	held  int // handed down with calls that are not settled yet
	spent int // used here, used below, or handed down with a lost answer
}

// NewLedger returns a ledger with the given bound. A negative bound counts as zero.
func NewLedger(bound int) *Ledger {
	bound = max(bound, 0)
	return &Ledger{bound: bound, left: bound}
}

// Take uses one retry for an own attempt and reports whether there was one.
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

// GiveBack undoes a Take whose attempt was not made, because no target was left to send it to.
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

// HandDown moves what is left to a call, except for one retry if there are several. Deep hops need retries most: a
// request that fails there wastes the work of all hops above. The one that stays lets the hop fail over when the answer,
// and with it the share, is lost.
func (l *Ledger) HandDown() *Share { return l.handDown(1) }

// HandDownAll moves all that is left to a call. It is for a hop that makes no attempts of its own.
func (l *Ledger) HandDownAll() *Share { return l.handDown(0) }

func (l *Ledger) handDown(keep int) *Share {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.left
	if n > keep {
		n -= keep
	}
	l.left -= n
	l.held += n
	return &Share{ledger: l, size: n}
}

// Size returns the number of retries in the share.
func (s *Share) Size() int { return s.size }

// Return settles the share with the unused part that came back with an answer. An unused part outside the share's size
// is a fault of the peer and is clamped, so that a peer cannot create retries.
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
	l.held -= s.size
	l.spent += s.size - unused
	l.left += unused
}

// Limit counts what is left above n as spent. It takes in what a caller says of retries that other nodes have used.
func (l *Ledger) Limit(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if over := l.left - max(n, 0); over > 0 {
		l.left -= over
		l.spent += over
	}
}

// Left returns the retries that are neither used nor handed out.
func (l *Ledger) Left() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.left
}

// Close ends the ledger and returns the unused retries for the hop above. Retries that are still held count as spent.
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
	if l.spent < 0 || l.held < 0 || l.left < 0 || l.spent+l.held+l.left != l.bound {
		return fmt.Errorf("retry ledger: spent %d + held %d + left %d != bound %d", l.spent, l.held, l.left, l.bound)
	}
	return nil
}
