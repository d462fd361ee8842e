package balance

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// loadMaxAge is the age up to which a reported load or a refusal counts.
	loadMaxAge = time.Second
	// unknownLoad is the utilisation assumed for a target without a recent report, if no target of the local zone has a recent
	// report (see Condition and zoneLoad) either.
	unknownLoad = 0.5
	// latencyWindow is the number of responses over which the moving average of the latency is taken.
	latencyWindow = 16
	// failurePenalty weights failures in the score, which is multiplied by 1 + failurePenalty * failure rate: a target that
	// fails a tenth of its requests is scored like one with twice the load. A failure costs more than one request of load,
	// because a failed call usually fails its whole call chain, or uses a retry of a budget that other calls share.
	failurePenalty = 10
	// leavingTime is the time for which a target is not picked after it refused a request as leaving. Membership removes a
	// target that leaves from the list of targets within seconds. For one that stays in the list, the next request after this
	// time shows whether it still refuses.
	leavingTime = time.Second
)

// candidate is a target with its state. The state is kept when zone or slots change.
type candidate struct {
	Target
	*state
	zoneLoad *zoneLoad
}

type state struct {
	inFlight            atomic.Int64
	load                atomic.Uint64 // reported requests in flight in the high half, reported limit in the low half
	loadAt              atomic.Int64
	refusedAt           atomic.Int64  // last refusal
	latency             atomic.Uint64 // mean in seconds, as float64 bits
	samples             atomic.Int64
	consecutiveFailures atomic.Int64
	ownFailures         FailureRate // of the requests that this node sent to the target
	lastCondition       lastCondition
	slowdown            slowdown
	timings             [maxKinds]timing // by the number of the kind, less one
	transit             atomic.Int64     // mean time between this node and the target's, both ways, in nanoseconds
	ejectedUntil        atomic.Int64     // end of the ejection
	leavingUntil        atomic.Int64     // end of the time without picks after a refusal as leaving
	rampFrom            atomic.Int64     // start of the ramp; for an ejected target the end of its ejection; zero: none

	rampAnswers atomic.Int64 // good answers in a row during the ramp
	returning   atomic.Bool  // the ramp follows an ejection

	ejectTime time.Duration // length of the last ejection; guarded by the Picker's mutex
}

// size returns the number of requests that the target runs concurrently: the limit that it reports, at most its slots.
func (m *candidate) size() float64 {
	limit, slots := float64(uint32(m.load.Load())), float64(max(1, m.Slots))
	if limit == 0 {
		return slots
	}
	return min(limit, slots)
}

// utilisation returns the utilisation by the latest report, either the load in a response or a Condition; it is above one
// while requests are queued. After a refusal the target counts as at least full, whatever its node reports. Without a recent
// report, the load of the local zone is assumed.
func (m *candidate) utilisation(now int64) float64 {
	least := 0.0
	if at := m.refusedAt.Load(); at != 0 && now-at < int64(loadMaxAge) {
		least = 1
	}
	if at := m.loadAt.Load(); at != 0 && now-at < int64(loadMaxAge) && at >= m.lastCondition.at.Load() {
		return max(least, float64(m.load.Load()>>32)/m.size())
	}
	if load, ok := m.lastCondition.utilisation(now); ok {
		return max(least, load)
	}
	return max(least, m.zoneLoad.get(now))
}

// score orders targets; lower is better. The reported load at most doubles a score, so that a false report attracts only a
// bounded excess of traffic.
func (m *candidate) score(now int64) float64 {
	load := float64(m.inFlight.Load()+1) / m.size() * (1 + min(1, m.utilisation(now)))
	return load * (1 + failurePenalty*m.failureRate(now))
}

// occupancy returns the larger of the utilisation by this node's own requests in flight and the reported one.
func (m *candidate) occupancy(now int64) float64 {
	return max(float64(m.inFlight.Load())/m.size(), m.utilisation(now))
}

func (s *state) meanLatency() float64 { return math.Float64frombits(s.latency.Load()) }

// finish records the result of a pick.
func (p *Picker) finish(m *candidate, kind int, start int64, r Result) {
	m.inFlight.Add(-1)
	now := p.now()
	p.recordTiming(m, kind, r.Timing, now-start, now)
	if r.Load.Limit > 0 {
		m.load.Store(uint64(uint32(max(0, r.Load.InFlight)))<<32 | uint64(uint32(r.Load.Limit)))
		m.loadAt.Store(now)
	}
	p.recordPace(m, r.Load.Pace)
	if from := m.rampFrom.Load(); from != 0 {
		m.recordRampAnswer(r, from, now)
	}
	switch {
	case r.Cancelled:
	case r.Leaving:
		m.leavingUntil.Store(now + int64(leavingTime))
	case r.Refused:
		m.refusedAt.Store(now)
	case r.Failed:
		m.ownFailures.count(true, now)
		if m.consecutiveFailures.Add(1) >= int64(p.settings.Load().EjectFailures) {
			p.eject(m, "failures")
		}
	default:
		if m.consecutiveFailures.Load() != 0 {
			m.consecutiveFailures.Store(0)
		}
		m.ownFailures.count(false, now)
		m.recordLatency(time.Duration(now - start).Seconds())
		if n := m.samples.Add(1); n >= outlierSamples && n%outlierEvery == 0 && p.outlier(m, kind, now) {
			p.eject(m, "latency")
		}
	}
}

// recordRampAnswer lets the ramp grow with a good answer, and begin anew with a failure.
func (s *state) recordRampAnswer(r Result, from, now int64) {
	switch {
	case r.Cancelled || r.Leaving || r.Refused || now < from:
	case r.Failed:
		s.rampAnswers.Store(0)
		s.rampFrom.CompareAndSwap(from, now)
	default:
		s.rampAnswers.Add(1)
	}
}

// recordLatency adds a latency to the moving average.
func (s *state) recordLatency(seconds float64) {
	for {
		old := s.latency.Load()
		next := seconds
		if old != 0 {
			mean := math.Float64frombits(old)
			next = mean + (seconds-mean)/latencyWindow
		}
		if s.latency.CompareAndSwap(old, math.Float64bits(next)) {
			return
		}
	}
}
