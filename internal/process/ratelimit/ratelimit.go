// Package ratelimit keeps the limit on requests per second that a target names in its responses, and says when the next request
// may be sent to it. The node beside a target has one Limiter for it, through which all requests to the target pass.
//
// A Limiter is safe for concurrent use.
package ratelimit

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
)

// minRate is the lowest rate in requests per second that is applied. A target that names less, or zero, still gets a request
// from time to time, because only a response can end its limit.
const minRate = 0.5

// Limiter is the limit of one target process.
type Limiter struct {
	rate atomic.Uint64 // limit in force as float64 bits; zero: none

	mu      sync.Mutex
	heard   bool      // the target itself has responded
	namedAt time.Time // arrival of the last response that named a limit
}

// Rate returns the limit in force in requests per second, or zero if there is none.
func (l *Limiter) Rate() float64 { return math.Float64frombits(l.rate.Load()) }

// Observe records what the target says in a response to a request that was sent at the given time, and reports whether that
// changed the limit in force. Responses overtake each other: one without a limit ends the limit only if its request was sent
// after the last response that named one.
func (l *Limiter) Observe(sent, now time.Time, n message.Notice) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heard = true
	switch {
	case n.RateLimited && math.IsNaN(n.RateLimit):
		l.namedAt = now // the limit cannot be read; the one before stays in force
		return false
	case n.RateLimited:
		l.namedAt = now
		return l.setRate(max(minRate, n.RateLimit))
	case sent.Before(l.namedAt):
		return false
	default:
		return l.setRate(0)
	}
}

// setRate changes the limit in force and reports whether it was another one. The caller holds the mutex.
func (l *Limiter) setRate(rate float64) bool {
	if l.Rate() == rate {
		return false
	}
	l.rate.Store(math.Float64bits(rate))
	return true
}
