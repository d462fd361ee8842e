// Package servicetime measures how long requests take at the target beside the node, by kind of request, and whether the latest
// ones take longer than usual.
//
// The load patterns are targets that run at a fraction of their usual speed for some hundred milliseconds, and targets that slow
// down while nearly all of their slots are in use. All requests to the target pass through its node, which therefore notices a
// change within a few requests; another node sends the target a small part of them. The figures travel to the other nodes with
// responses.
//
// A Meter is safe for concurrent use.
package servicetime

import (
	"math"
	"sync"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
)

const (
	// usualHalfLife is the time in which the weight of earlier requests in the usual time of a kind falls to one half. A pause of a
	// target lasts for about a second and hardly changes it; a lasting change of the target's speed does.
	usualHalfLife = 10 * time.Second
	// maxWeight bounds the weight of a single request after a time without requests of its kind.
	maxWeight = 1.0 / 8
	// recentWindow is the number of requests over which the slowdown is averaged. Over fewer, the spread of the work of requests
	// of one kind looks like a slowdown.
	recentWindow = 8
	// recentTime is the time in which a slowdown fades to none, evenly, while no request ends.
	recentTime = 1500 * time.Millisecond
	// maxRatio bounds how much a single request counts against the usual time of its kind.
	maxRatio = 20
	// maxKinds bounds the kinds that are measured. Routes that were removed from the configuration stay until the target is replaced.
	maxKinds = 64
)

// Meter measures the requests to one target. The zero value has measured nothing. Points in time are durations since any fixed
// moment, on the monotonic clock.
type Meter struct {
	mu       sync.Mutex
	kinds    map[string]*kind
	slowdown float64 // of the latest requests; zero: none has ended
	last     time.Duration
}

type kind struct {
	own, calls float64 // usual times, in nanoseconds
	requests   int
	last       time.Duration
}

// Record adds a request that the target has answered at the given time. The time in which its calls were in progress is not part
// of the target's own time.
func (m *Meter) Record(name string, own, calls, now time.Duration) {
	own, calls = max(own, time.Microsecond), max(calls, 0)
	m.mu.Lock()
	defer m.mu.Unlock()
	k := m.kinds[name]
	if k == nil {
		if len(m.kinds) >= maxKinds {
			return
		}
		if m.kinds == nil {
			m.kinds = map[string]*kind{}
		}
		k = &kind{own: float64(own), calls: float64(calls), last: now}
		m.kinds[name] = k
	}
	if k.requests > 0 {
		m.recordSlowdown(min(maxRatio, float64(own)/k.own), now)
	}
	k.requests++
	// The usual time is a mean over time, so that the many requests within a pause do not become the usual ones. The first requests
	// count equally.
	weight := min(maxWeight, math.Ln2*float64(now-k.last)/float64(usualHalfLife))
	weight = max(weight, 1/float64(k.requests))
	k.own += weight * (float64(own) - k.own)
	k.calls += weight * (float64(calls) - k.calls)
	k.last = now
}

func (m *Meter) recordSlowdown(ratio float64, now time.Duration) {
	mean := m.slowdownAt(now)
	m.slowdown, m.last = mean+(ratio-mean)/recentWindow, now
}

// slowdownAt must be called with the mutex held.
func (m *Meter) slowdownAt(now time.Duration) float64 {
	if m.slowdown == 0 {
		return 1
	}
	return 1 + (m.slowdown-1)*max(0, 1-float64(max(0, now-m.last))/float64(recentTime))
}

// Slowdown returns the time of the latest requests as a factor on the usual time of their kinds.
func (m *Meter) Slowdown(now time.Duration) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.slowdownAt(now)
}

// Usual returns the usual time of a kind of request at the target itself, or zero if none was measured.
func (m *Meter) Usual(name string) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if k := m.kinds[name]; k != nil {
		return time.Duration(k.own)
	}
	return 0
}

// Timing returns the figures for a kind of request, or the zero value if none was measured.
func (m *Meter) Timing(name string, now time.Duration) message.Timing {
	m.mu.Lock()
	defer m.mu.Unlock()
	k := m.kinds[name]
	if k == nil {
		return message.Timing{}
	}
	return message.Timing{Own: time.Duration(k.own), Calls: time.Duration(k.calls), Slowdown: m.slowdownAt(now)}
}
