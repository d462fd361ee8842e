// Package ratelimit keeps the limit on requests per second that a target names in its responses, and says when the next request
// may be sent to it. The node beside a target has one Limiter for it, through which all requests to the target pass.
//
// The other nodes, whose responses carried the limit, send it back with their requests, so that a node that has been restarted
// has it before its target has responded.
//
// A Limiter is safe for concurrent use.
package ratelimit

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
)

// minRate is the lowest rate in requests per second that is applied. A target that names less, or zero, still gets a request
// from time to time, because only a response can end its limit.
const minRate = 0.5

// burstTime is the time whose requests may be sent at once after a pause. Operators allow half as much again as the limit over
// several seconds, so a burst must be a small part of one.
const burstTime = 250 * time.Millisecond

// Limiter is the limit of one target process.
type Limiter struct {
	rate   atomic.Uint64 // limit in force as float64 bits; zero: none
	bucket *rate.Limiter // a token for each request that may be sent; empty while there is no limit

	mu      sync.Mutex
	heard   bool      // the target itself has responded
	namedAt time.Time // arrival of the last response that named a limit
}

// New returns a Limiter without a limit.
func New() *Limiter { return &Limiter{bucket: rate.NewLimiter(0, 0)} }

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
		return l.setRate(max(minRate, n.RateLimit), now)
	case sent.Before(l.namedAt):
		return false
	default:
		return l.setRate(0, now)
	}
}

// Restore puts a limit in force that another node has learned from a response of the target, unless the target has responded to
// this node, and reports whether that changed the limit in force.
func (l *Limiter) Restore(perSecond float64, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.heard || !(perSecond > 0) || math.IsInf(perSecond, 0) {
		return false
	}
	return l.setRate(max(minRate, perSecond), now)
}

// Take reports whether a request may be sent now, and if so counts it.
func (l *Limiter) Take(now time.Time) bool {
	return l.Rate() == 0 || l.bucket.AllowN(now, 1)
}

// Wait returns the time until Take succeeds, unless other requests take precedence. It is zero if it succeeds now.
func (l *Limiter) Wait(now time.Time) time.Duration {
	perSecond := l.Rate()
	if perSecond == 0 {
		return 0
	}
	missing := 1 - l.bucket.TokensAt(now)
	return time.Duration(math.Ceil(max(0, missing) / perSecond * float64(time.Second)))
}

// setRate changes the limit in force and reports whether it was another one. The caller holds the mutex.
func (l *Limiter) setRate(perSecond float64, now time.Time) bool {
	if l.Rate() == perSecond {
		return false
	}
	burst := 0
	if perSecond > 0 {
		burst = max(1, int(perSecond*burstTime.Seconds()))
	}
	l.bucket.SetLimitAt(now, rate.Limit(perSecond))
	l.bucket.SetBurstAt(now, burst)
	l.rate.Store(math.Float64bits(perSecond))
	return true
}
