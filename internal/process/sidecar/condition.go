package sidecar

import (
	"cmp"
	"log/slog"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/process/balance"
	"github.com/wigeoncleat/wigeoncleat/internal/process/event"
	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
)

const (
	// Each slowCheckInterval, a node checks the condition of its target and sends it to callers if the target has become slow or is
	// no longer slow, if load or failures have changed considerably and the last message is conditionCheckInterval old, or if the
	// target is in use or failing and the last message is maxConditionInterval old.
	slowCheckInterval      = 100 * time.Millisecond
	conditionCheckInterval = 250 * time.Millisecond
	maxConditionInterval   = time.Second
	// slowFrom and slowUntil are the slowdowns from which and below which a target counts as slow and as no longer slow. The spread
	// of the work of requests alone seldom reaches slowFrom, so that a steady target sends no more messages than before.
	slowFrom  = 1.6
	slowUntil = 1.25
	// minLoadChange and minFailureRateChange are the changes of utilisation and failure rate that are sent at the next
	// check.
	minLoadChange        = 0.15
	minFailureRateChange = 0.05
	// failingThreshold is the failure rate from which the target is logged as failing. It is logged as recovered below
	// half of that.
	failingThreshold = 0.1
	// callerRetention is the time for which another node counts as a caller of the attached target after the last request
	// that it forwarded here.
	callerRetention = 15 * time.Second
	// maxNotifiedCallers bounds the callers that are notified. At 120 bytes a message, and one message a second to each,
	// it keeps the node below its limit of 4 KB/s for control traffic.
	maxNotifiedCallers = 32
)

// condition is the load and failure rate of a node's attached target, as sent to its callers.
type condition struct {
	Service      string  `cbor:"1,keyasint"`
	InFlight     int     `cbor:"2,keyasint"`
	Limit        int     `cbor:"3,keyasint"`
	FailureShare float32 `cbor:"4,keyasint,omitempty"` // the FailureRate of balance.Condition
	Slowdown     float32 `cbor:"5,keyasint,omitempty"` // zero: not stated
	Pace         float32 `cbor:"6,keyasint,omitempty"` // see message.Load; zero: not stated
}

// recentCallers records which nodes of the node's own availability zone sent requests recently. It is safe for
// concurrent use.
type recentCallers struct {
	mu   sync.Mutex
	last map[string]time.Time
}

func (c *recentCallers) record(address string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last == nil {
		c.last = map[string]time.Time{}
	}
	c.last[address] = now
}

// latest returns the callers within callerRetention, latest first, at most maxNotifiedCallers.
func (c *recentCallers) latest(now time.Time) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	for address, at := range c.last {
		if now.Sub(at) > callerRetention {
			delete(c.last, address)
			continue
		}
		out = append(out, address)
	}
	slices.SortFunc(out, func(a, b string) int { return cmp.Or(c.last[b].Compare(c.last[a]), cmp.Compare(a, b)) })
	return out[:min(maxNotifiedCallers, len(out))]
}

// conditionLimiter decides when the condition is sent. It is not safe for concurrent use.
type conditionLimiter struct {
	last balance.Condition
	at   time.Time
	slow bool // as sent
}

// due reports whether to send the condition now, and if so records it as sent.
func (t *conditionLimiter) due(now time.Time, c balance.Condition) bool {
	slow := c.Slowdown >= slowFrom || t.slow && c.Slowdown >= slowUntil
	idle := c.Load.InFlight == 0 && c.FailureRate < minFailureRateChange
	changed := math.Abs(utilisation(c.Load)-utilisation(t.last.Load)) >= minLoadChange ||
		math.Abs(c.FailureRate-t.last.FailureRate) >= minFailureRateChange
	since := now.Sub(t.at)
	if slow == t.slow && (!changed || since < conditionCheckInterval) && (idle || since < maxConditionInterval) {
		return false
	}
	t.last, t.at, t.slow = c, now, slow
	return true
}

func utilisation(l message.Load) float64 { return float64(l.InFlight) / float64(max(1, l.Limit)) }

// notifyCallers sends the target's condition to its callers, the nodes of this availability zone that forward requests to
// it. A single caller sees too few of the requests to measure it.
func (s *Sidecar) notifyCallers() {
	var t conditionLimiter
	failing := false
	s.every(slowCheckInterval, func() {
		now := time.Now()
		c, open := s.path.Condition()
		if !open || !t.due(now, c) {
			return
		}
		failing = s.logFailureState(failing, c)
		msg := s.message()
		msg.Condition = &condition{s.settings.Service, c.Load.InFlight, c.Load.Limit, float32(c.FailureRate), float32(c.Slowdown), float32(c.Load.Pace)}
		for _, address := range s.recentCallers.latest(now) {
			s.send(address, msg)
		}
	})
}

// logFailureState logs when the target starts failing or recovers, and returns whether it is failing.
func (s *Sidecar) logFailureState(wasFailing bool, c balance.Condition) bool {
	attrs := []slog.Attr{slog.Float64("share", c.FailureRate), slog.Int("in_flight", c.Load.InFlight), slog.Int("limit", c.Load.Limit)}
	switch {
	case !wasFailing && c.FailureRate >= failingThreshold:
		event.Log(s.log, event.TargetFailing, attrs...)
		return true
	case wasFailing && c.FailureRate < failingThreshold/2:
		event.Log(s.log, event.TargetRecovered, attrs...)
		return false
	}
	return wasFailing
}

// applyPeerCondition stores the condition of another node's target for load balancing.
func (s *Sidecar) applyPeerCondition(from string, c *condition) {
	s.pickers.SetCondition(c.Service, from, balance.Condition{
		Load:        message.Load{InFlight: c.InFlight, Limit: c.Limit, Pace: float64(c.Pace)},
		FailureRate: float64(c.FailureShare),
		Slowdown:    float64(c.Slowdown),
	})
}
