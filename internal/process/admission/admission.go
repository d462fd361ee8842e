// Package admission protects a target from overload. A target is a server of one service; a node is the proxy process
// beside it, which has a Controller and admits all requests to this target and to no other.
//
// A Controller limits the requests in flight, keeps a short queue in front of the target and computes the threshold, the
// lowest priority that it admits. The node reports the threshold with its responses, and other nodes shed requests below
// it, above all the entry nodes, where requests enter the system (see package shed). A Controller relies on its own counts
// and on the outcomes of requests, not on what the target reports about itself.
//
// A priority has a rank in its high byte; the low byte, which derives from a hash of the request's ID, divides the requests
// of a rank. The limit on requests in flight follows from three values: the configured limit (Limits), the learned limit,
// which the tuner lowers if the target has fewer slots than configured, and the ramp of a target that starts cold: either over a fixed
// time or as its answers allow (Pacer).
//
// A Controller is safe for concurrent use. Acquire and Release hold the Controller's mutex for a bounded number of
// steps; Threshold and Load read atomics and lock the mutex only when a measurement interval has ended.
package admission

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/process/event"
	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
	"github.com/wigeoncleat/wigeoncleat/internal/version/policy"
)

// Work describes a request that asks for a slot.
type Work struct {
	Priority message.Priority
	Deadline time.Time // zero: no deadline
	// Subrequest reports that a target made the request for another one that it is processing, so that refusing it wastes
	// the work of upstream hops. All other requests are called new requests. Only the rank of a sub-request is compared
	// with the threshold. Within a rank, the threshold is an estimate of how many requests the entry nodes should send,
	// and it takes effect with a delay; which sub-requests run is left to the queue, which knows the present load.
	Subrequest bool
	// MaxWait is the longest wait for a slot. Zero means that Limits decides.
	MaxWait time.Duration
}

// shedPriority returns the priority to compare with the threshold.
func (w Work) shedPriority() message.Priority {
	if w.Subrequest {
		return w.Priority.TopOfRank()
	}
	return w.Priority
}

// Result describes how a request ended at the target.
type Result struct {
	Latency   time.Duration // time spent at the target
	Failed    bool          // no answer, or an answer that reports a failure of the target
	Cancelled bool          // ended before its answer because the caller cancelled it or the deadline passed
	Paused    bool          // the process was paused while the request ran, so that Latency includes the pause
}

// Refusal is the error returned for a request that was not admitted. The request was not run.
type Refusal struct {
	Reason     message.Reason
	RetryAfter time.Duration // randomised, so that refused callers do not retry at the same time
	Threshold  message.Priority
}

// Error implements error.
func (r *Refusal) Error() string { return fmt.Sprintf("not admitted: %s", r.Reason) }

// Response returns the response for the refused request.
func (r *Refusal) Response() *message.Response {
	resp := message.Refuse(r.Reason, message.Errorf(message.StepAdmit, "", "%s", r.Reason))
	resp.RetryAfter = r.RetryAfter
	return resp
}

const (
	// minRetryAfter is the shortest RetryAfter of a refusal, before randomisation.
	minRetryAfter = 100 * time.Millisecond
	// maxRetryAfter is the longest RetryAfter of a refusal, before randomisation. A recovered target should not stay
	// idle for long because all callers still wait.
	maxRetryAfter = 5 * time.Second
	// rampStartShare is the share of the limit that a cold target starts with.
	rampStartShare = 0.1
	// rampSteps is the number of steps in which the limit rises to its full value.
	rampSteps = 50
	// idleShare is the share of slots that must be idle before requests below the threshold may use them.
	idleShare = 0.1
)

// Controller controls the admission of requests to one target.
type Controller struct {
	origin time.Time      // start of the Controller; other points in time are kept as durations since origin
	random func() float64 // returns a value in [0, 1); replaced by tests, called with the mutex held

	threshold atomic.Uint32 // copy of shedder.threshold
	load      atomic.Uint64 // in-flight and queued requests in the high half, limit in the low half
	nextTick  atomic.Int64  // end of the current measurement interval, in nanoseconds since origin

	mu          sync.Mutex
	limits      Limits
	leaving     bool // set by StopAdmitting
	inFlight    int
	newInFlight int // new requests in flight
	limit       int // current limit on requests in flight
	queue       queue
	latency     latencyEstimate
	meter       meter
	shedder     shedder
	tuner       tuner
	rampFrom    time.Duration // start of the ramp; negative: no ramp in progress
	rampTimer   *time.Timer
	rate        RateLimiter // nil: no limit on requests per second
	pace        Pacer       // nil: no pace
	timeInUse   timeInUse
	rateTimer   *time.Timer // dispatches when the rate allows the next request
}

// RateLimiter limits the requests per second that are sent to the target.
type RateLimiter interface {
	// Rate returns the limit in requests per second, or zero if there is none.
	Rate() float64
	// Take reports whether a request may be sent now, and if so counts it.
	Take(now time.Time) bool
	// Wait returns the time until Take succeeds.
	Wait(now time.Time) time.Duration
}

// Pacer limits the requests in flight of a target that has just started, see package pace.
type Pacer interface {
	// Limit returns the limit on requests in flight, given the one without a ramp.
	Limit(unpaced int) int
}

// New returns a Controller that admits at the full limit. Call StartRamp to raise the limit gradually instead.
func New(l Limits) *Controller {
	c := &Controller{origin: time.Now(), random: rand.Float64, limits: l, rampFrom: -1}
	c.queue.subrequestsFirst = l.SubrequestsFirst
	c.shedder.returnStep = policy.DefaultShedReturnStep
	c.tuner.reset(l.maxInFlight(), 0)
	c.limit = c.currentLimit(0)
	c.nextTick.Store(int64(tickInterval))
	c.publish()
	return c
}

// Permit is the right to run one request at the target. It must be released.
type Permit struct {
	c          *Controller
	subrequest bool
	released   atomic.Bool
}

// Acquire waits for a slot. An error is always a *Refusal and means that the request must not run. The caller must
// release the permit when the request has ended.
func (c *Controller) Acquire(ctx context.Context, w Work) (*Permit, error) {
	if reason := contextReason(ctx); reason != message.ReasonNone {
		return nil, &Refusal{Reason: reason}
	}
	c.mu.Lock()
	now := c.advance()
	c.meter.recordArrival(w.Priority, c.shedder.threshold)
	c.shedder.recordRank(w.Priority.Rank(), now)
	if reason := c.refusalOnArrival(now, w); reason != message.ReasonNone {
		return nil, c.refuseAndUnlock(reason)
	}
	if c.queue.len() == 0 && c.inFlight < c.limit && c.takeRate() {
		p := c.grant(w)
		c.publish()
		c.mu.Unlock()
		return p, nil
	}
	wt, reason := c.enqueue(ctx, now, w)
	if reason != message.ReasonNone {
		return nil, c.refuseAndUnlock(reason)
	}
	wait := c.maxWait(now, w)
	c.scheduleRate()
	c.publish()
	c.mu.Unlock()
	return c.await(ctx, wt, wait)
}

// refuseAndUnlock builds a refusal and unlocks the mutex.
func (c *Controller) refuseAndUnlock(reason message.Reason) error {
	r := c.refusal(reason)
	c.publish()
	c.mu.Unlock()
	return r
}

// refusalOnArrival returns the reason to refuse a request regardless of the state of the queue, or ReasonNone.
func (c *Controller) refusalOnArrival(now time.Duration, w Work) message.Reason {
	switch {
	case c.leaving:
		return message.ReasonLeaving
	case !c.meetsDeadline(now, 0, w):
		return message.ReasonDeadline
	case w.shedPriority() < c.shedder.threshold && !c.hasIdleSlots():
		return message.ReasonOverload
	}
	return message.ReasonNone
}

// hasIdleSlots reports whether enough slots are idle to admit requests below the threshold. The threshold tells other
// nodes what to send; it must not keep slots idle here.
func (c *Controller) hasIdleSlots() bool {
	return c.queue.len() == 0 && float64(c.inFlight) < (1-idleShare)*float64(c.sustained())
}

// meetsDeadline reports whether a request can end before its deadline after the given wait. With nothing in flight the
// measured service time is ignored: if it were too long for every deadline, no request would run that could correct it.
func (c *Controller) meetsDeadline(now, wait time.Duration, w Work) bool {
	if w.Deadline.IsZero() {
		return true
	}
	remaining := w.Deadline.Sub(c.origin) - now
	if remaining <= 0 {
		return false
	}
	needed := wait + c.latency.floor
	if c.limits.MixedServiceTimes {
		needed = wait
	}
	return c.inFlight == 0 || needed <= remaining
}

// Release ends the request of the permit. Further calls have no effect.
func (p *Permit) Release(r Result) {
	if p.released.Swap(true) {
		return
	}
	c := p.c
	c.mu.Lock()
	now := c.advance()
	c.releaseSlot(p)
	c.meter.recordDeparture(r)
	c.latency.add(r)
	c.dispatch(now)
	c.publish()
	c.mu.Unlock()
}

// Threshold returns the lowest priority that is currently admitted.
func (c *Controller) Threshold() message.Priority {
	if int64(time.Since(c.origin)) >= c.nextTick.Load() {
		c.refresh()
	}
	return message.Priority(c.threshold.Load())
}

// Load returns the number of requests in flight or queued and the current limit.
func (c *Controller) Load() message.Load {
	if int64(time.Since(c.origin)) >= c.nextTick.Load() {
		c.refresh()
	}
	v := c.load.Load()
	return message.Load{InFlight: int(v >> 32), Limit: int(uint32(v))}
}

func (c *Controller) refresh() {
	c.mu.Lock()
	c.advance()
	c.publish()
	c.mu.Unlock()
}

// SetLimits replaces the limits. Requests in flight above a lower limit run to their end. The learned limit is
// discarded if the configured limit on requests in flight changes.
func (c *Controller) SetLimits(l Limits) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.advance()
	changed := l.maxInFlight() != c.limits.maxInFlight()
	c.limits, c.queue.subrequestsFirst = l, l.SubrequestsFirst
	if changed {
		c.tuner.reset(l.maxInFlight(), now)
	}
	c.trimQueue()
	c.limit = c.currentLimit(now)
	c.dispatch(now)
	c.publish()
}

// trimQueue refuses the waiters that exceed the length of the queue.
func (c *Controller) trimQueue() {
	for i := c.queue.len() - 1; i >= 0; i-- {
		if w := c.queue.items[i].work; c.queue.competing(w) > c.maxLength(w) {
			c.refuseWaiter(c.queue.remove(c.queue.leastImportant(w)), message.ReasonOverload)
		}
	}
}

// StartRamp discards earlier measurements of the target, which starts cold, and raises the limit gradually over
// RampTime unless that is zero.
func (c *Controller) StartRamp() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.advance()
	c.tuner.reset(c.limits.maxInFlight(), now)
	c.latency = latencyEstimate{}
	if c.limits.RampTime <= 0 {
		return
	}
	c.rampFrom = now
	c.limit = c.currentLimit(now)
	if c.rampTimer == nil {
		c.rampTimer = time.AfterFunc(c.limits.RampTime/rampSteps, c.advanceRamp)
	} else {
		c.rampTimer.Reset(c.limits.RampTime / rampSteps)
	}
	c.publish()
}

// advanceRamp is one step of the ramp. A timer calls it because the queue must be served even if no request arrives or
// ends.
func (c *Controller) advanceRamp() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.advance()
	if c.rampFrom >= 0 && !c.leaving {
		c.rampTimer.Reset(c.limits.RampTime / rampSteps)
	}
	c.dispatch(now)
	c.publish()
}

// StopAdmitting refuses all queued and all new requests with ReasonLeaving. It is final; requests in flight run to
// their end.
func (c *Controller) StopAdmitting() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance()
	c.leaving = true
	if c.rampTimer != nil {
		c.rampTimer.Stop()
	}
	if c.rateTimer != nil {
		c.rateTimer.Stop()
	}
	for c.queue.len() > 0 {
		c.refuseWaiter(c.queue.remove(0), message.ReasonLeaving)
	}
	c.publish()
}

// advance accounts for the time since the last call, ends the measurement interval if it is over, and returns the
// current time. It must be called with the mutex held and before the state changes.
func (c *Controller) advance() time.Duration {
	now := time.Since(c.origin)
	c.meter.integrate(now, c.inFlight, c.inUse(), c.sustained(), c.queue.len())
	if now >= time.Duration(c.nextTick.Load()) {
		c.tick(now)
	}
	if limit := c.currentLimit(now); limit != c.limit {
		c.limit = limit
		c.dispatch(now)
	}
	return now
}

// tick ends a measurement interval.
func (c *Controller) tick(now time.Duration) {
	m := &c.meter
	c.timeInUse.add(m)
	expected := 0.0 // departures per interval with all slots in use, or at the limit on requests per second
	switch {
	case c.rateLimited():
		expected = c.rate.Rate() * tickInterval.Seconds()
	case c.latency.mean > 0:
		expected = float64(c.limit) * float64(tickInterval) / float64(c.latency.mean)
	}
	c.shedder.adjust(now, m, &c.queue, c.queueLength(), expected)
	if !c.rateLimited() {
		c.tuner.updateBaseline(now, m, &c.latency)
	}
	if c.rampFrom < 0 && !c.rateLimited() && !c.paced() {
		before := c.tuner.learned
		c.tuner.observe(now, m, &c.latency, c.longWaitSlots())
		logLimit(before, c.tuner.learned)
	}
	m.reset(now)
	c.nextTick.Store(int64(now + tickInterval))
}

// longWaitSlots returns the number of slots that requests of LongWaitRank and above need at the current latency.
func (c *Controller) longWaitSlots() float64 {
	if c.limits.LongWaitRank == 0 {
		return 0
	}
	return c.shedder.demandFrom(c.limits.LongWaitRank) * float64(c.latency.mean) / float64(tickInterval)
}

// logLimit logs a change of the learned limit. It does so in a separate goroutine because the caller holds the mutex.
func logLimit(before, after int) {
	e := event.LimitLowered
	switch {
	case before == after:
		return
	case after > before:
		e = event.LimitRaised
	}
	go event.Log(slog.Default(), e, slog.Int("before", before), slog.Int("after", after))
}

// currentLimit returns the limit on requests in flight at the given time, and ends the ramp when it is complete.
func (c *Controller) currentLimit(now time.Duration) int {
	limit := c.tuner.limit()
	if c.pace != nil {
		limit = c.pace.Limit(limit)
	}
	if c.rampFrom < 0 {
		return limit
	}
	share := rampStartShare + (1-rampStartShare)*float64(now-c.rampFrom)/float64(c.limits.RampTime)
	if c.limits.RampTime <= 0 || share >= 1 {
		c.rampFrom = -1
		return limit
	}
	return max(1, int(share*float64(limit)))
}

// publish copies the state that is read without the mutex.
func (c *Controller) publish() {
	c.threshold.Store(uint32(c.shedder.threshold))
	c.load.Store(uint64(c.inFlight+c.queue.len())<<32 | uint64(uint32(c.sustained())))
}

// refusal builds the error for a refused request. RetryAfter grows with the time needed to work off the backlog and
// with the share of requests that are refused.
func (c *Controller) refusal(reason message.Reason) *Refusal {
	r := &Refusal{Reason: reason, Threshold: c.shedder.threshold}
	switch reason {
	case message.ReasonOverload, message.ReasonDeadline:
		backlog := time.Duration(c.inFlight+c.queue.len()) * c.latency.mean / time.Duration(c.sustained())
		after := float64(minRetryAfter+backlog) * (1 + c.shedder.pressure)
		r.RetryAfter = time.Duration(min(after, float64(maxRetryAfter)) * (0.5 + c.random()))
	case message.ReasonLeaving:
		r.RetryAfter = time.Duration(float64(minRetryAfter) * (0.5 + c.random()))
	}
	return r
}

// contextReason returns the reason to refuse a request whose context has ended, or ReasonNone.
func contextReason(ctx context.Context) message.Reason {
	err := ctx.Err()
	switch {
	case err == nil:
		return message.ReasonNone
	case errors.Is(err, context.DeadlineExceeded):
		return message.ReasonDeadline
	default:
		return message.ReasonCancelled
	}
}
