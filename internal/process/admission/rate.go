package admission

import (
	"math"
	"time"
)

const (
	// rateQueueTime is the time in which a target with a limit on requests per second takes as many requests as may be queued for
	// it. Queued requests hardly wait longer than for a target without such a limit whose slots are all in use.
	rateQueueTime = 500 * time.Millisecond
	// minRateWait is the shortest time between two attempts to dispatch when the rate allows the next request.
	minRateWait = time.Millisecond
)

// SetRate sets the limit on requests per second. It must be called before the first request.
func (c *Controller) SetRate(r RateLimiter) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rate = r
	c.publish()
}

// SetPace sets what paces the target after its start. It must be called before the first request.
func (c *Controller) SetPace(p Pacer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pace = p
	c.limit = c.currentLimit(time.Since(c.origin))
	c.publish()
}

// paced reports whether the pace keeps the limit below the one that the tuner would set.
func (c *Controller) paced() bool { return c.pace != nil && c.limit < c.tuner.limit() }

// RateChanged applies a changed limit on requests per second. The capacity measured under another limit no longer holds, and the
// trials of the tuner, which compare the throughput at two limits on requests in flight, say nothing while the rate bounds it.
func (c *Controller) RateChanged() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.advance()
	c.tuner.active = false
	c.shedder.capacity = 0
	c.limit = c.currentLimit(now)
	c.trimQueue()
	c.dispatch(now)
	c.publish()
}

func (c *Controller) rateLimited() bool { return c.rate != nil && c.rate.Rate() > 0 }

// takeRate counts a request against the limit on requests per second and reports whether it may be sent now.
func (c *Controller) takeRate() bool { return c.rate == nil || c.rate.Take(time.Now()) }

// rateWait returns the time until the limit on requests per second allows the next request.
func (c *Controller) rateWait() time.Duration {
	if c.rate == nil {
		return 0
	}
	return c.rate.Wait(time.Now())
}

// scheduleRate starts the timer that dispatches the queue when the rate allows the next request, because no request may arrive or
// end by then.
func (c *Controller) scheduleRate() {
	if c.queue.len() == 0 || c.leaving {
		return
	}
	wait := c.rateWait()
	switch {
	case wait == 0:
	case c.rateTimer == nil:
		c.rateTimer = time.AfterFunc(max(wait, minRateWait), c.dispatchAtRate)
	default:
		c.rateTimer.Reset(max(wait, minRateWait))
	}
}

func (c *Controller) dispatchAtRate() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dispatch(c.advance())
	c.publish()
}

// sustained returns the number of requests in flight at which the target works at its limits: the limit on requests in flight, or
// fewer if the limit on requests per second allows fewer at the current latency (Little's law). Load, shedding and expected waits
// are measured against it.
func (c *Controller) sustained() int {
	if !c.rateLimited() || c.timeInUse.departures == 0 {
		return c.limit
	}
	return max(1, min(c.limit, int(math.Round(c.rate.Rate()*c.timeInUse.mean()))))
}

// timeInUseWeight is the weight of one interval in the averages of timeInUse, which are taken over about two seconds.
const timeInUseWeight = 0.05

// timeInUse estimates the mean time for which a request is in flight. It is steadier than the mean latency of the last requests,
// which alternates between short calls and long requests where a target serves both.
type timeInUse struct {
	inFlight   float64 // requests in flight, integrated over an interval, smoothed
	departures float64 // in an interval, smoothed
}

func (t *timeInUse) add(m *meter) {
	t.inFlight += (m.inFlight - t.inFlight) * timeInUseWeight
	t.departures += (float64(m.departures) - t.departures) * timeInUseWeight
}

// mean returns the estimate in seconds. It must not be called before the first departure.
func (t *timeInUse) mean() float64 { return t.inFlight / t.departures }

// inUse returns the requests in flight, or sustained if the rate keeps a queued request from being sent.
func (c *Controller) inUse() int {
	if c.rateLimited() && c.queue.len() > 0 {
		return max(c.inFlight, c.sustained())
	}
	return c.inFlight
}

// queueLength returns the number of requests that may be queued.
func (c *Controller) queueLength() int {
	if !c.rateLimited() {
		return c.limits.QueueLength
	}
	return max(1, min(c.limits.QueueLength, int(c.rate.Rate()*rateQueueTime.Seconds())))
}
