package balance

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
)

const (
	// failureWindow is the number of results over which the moving average of failures is taken.
	failureWindow = 32
	// failureHalfLife is the time in which a failure rate decays to one half, so that a target that is no longer chosen is
	// tried again within seconds.
	failureHalfLife = 2 * time.Second
	// minFailureRate is the failure rate below which a target counts as free of failures. The decay alone would never bring
	// the rate back to zero.
	minFailureRate = 0.02
	// conditionMaxAge is the age up to which a reported condition counts. While a target runs requests or fails them, its node
	// reports the condition at least once a second to the nodes of its zone that have sent requests recently.
	conditionMaxAge = 3 * time.Second
	// zoneLoadWindow is the number of reported conditions over which the moving average of the availability zone's load is taken.
	zoneLoadWindow = 16
)

// Condition is the load and failure rate of a target as measured by the target's own node. That node sees all requests of the
// target, every other node only those that it sends itself.
type Condition struct {
	Load        message.Load
	FailureRate float64 // of the latest requests; does not count failures caused by downstream services
	Slowdown    float64 // see message.Timing; zero: not reported
}

// SetCondition records the condition that the node at the address reports for its target.
func (p *Picker) SetCondition(address string, c Condition) {
	now := p.now()
	for _, m := range p.snapshot.Load().all {
		if m.Address == address {
			m.lastCondition.set(c, now)
			p.recordPace(m, c.Load.Pace)
			switch {
			case message.ValidSlowdown(c.Slowdown):
				m.slowdown.set(c.Slowdown, now)
			case c.Slowdown != 0:
				p.ignoredFigures.Add(1)
			}
			if load, ok := m.lastCondition.utilisation(now); ok && m.Zone == p.zone {
				p.zoneLoad.add(load, now)
			}
		}
	}
}

// lastCondition is the condition that a target's node reported last.
type lastCondition struct {
	load atomic.Uint64 // requests in flight in the high half, limit in the low half
	rate atomic.Uint32 // float32
	at   atomic.Int64
}

func (l *lastCondition) set(c Condition, now int64) {
	l.load.Store(uint64(uint32(max(0, c.Load.InFlight)))<<32 | uint64(uint32(max(0, c.Load.Limit))))
	l.rate.Store(math.Float32bits(float32(min(1, max(0, c.FailureRate)))))
	l.at.Store(now)
}

func (l *lastCondition) valid(now int64) bool {
	at := l.at.Load()
	return at != 0 && now-at < int64(conditionMaxAge)
}

func (l *lastCondition) utilisation(now int64) (float64, bool) {
	load := l.load.Load()
	limit := uint32(load)
	if limit == 0 || !l.valid(now) {
		return 0, false
	}
	return float64(load>>32) / float64(limit), true
}

func (l *lastCondition) failureRate(now int64) float64 {
	if !l.valid(now) {
		return 0
	}
	return float64(math.Float32frombits(l.rate.Load()))
}

// zoneLoad is the mean utilisation of the service's targets in the local availability zone. It is assumed for targets
// without a recent report: otherwise a full zone would send all its requests to other zones, which may be just as full.
type zoneLoad struct {
	mean atomic.Uint64 // float64
	at   atomic.Int64
}

func (z *zoneLoad) add(load float64, now int64) {
	mean := math.Float64frombits(z.mean.Load())
	if at := z.at.Load(); at == 0 || now-at >= int64(conditionMaxAge) {
		mean = load
	}
	z.mean.Store(math.Float64bits(mean + (load-mean)/zoneLoadWindow)) // no CAS: the next report makes up for a lost update
	z.at.Store(now)
}

func (z *zoneLoad) get(now int64) float64 {
	if at := z.at.Load(); at == 0 || now-at >= int64(conditionMaxAge) {
		return unknownLoad
	}
	return math.Float64frombits(z.mean.Load())
}

// failureRate returns the larger of the failure rate that this node has seen and the reported one, or zero if it is below
// minFailureRate. It tells a target that fails part of its requests while its health checks pass from a healthy one; too few
// of the failures are consecutive for an ejection. A single failure counts until its rate has decayed below minFailureRate.
func (s *state) failureRate(now int64) float64 {
	if rate := max(s.ownFailures.rate(now), s.lastCondition.failureRate(now)); rate >= minFailureRate {
		return rate
	}
	return 0
}

// FailureRate is the moving average of failures among the latest results. The zero value is a rate of zero. It is safe for
// concurrent use.
type FailureRate struct {
	stored atomic.Uint64 // rate as float32 bits in the high half, its time in milliseconds in the low half
}

// Count adds a result.
func (f *FailureRate) Count(failed bool, now time.Duration) { f.count(failed, int64(now)) }

// Rate returns the rate at the given time, which must be measured on the same clock as the times passed to Count.
func (f *FailureRate) Rate(now time.Duration) float64 { return f.rate(int64(now)) }

func (f *FailureRate) rate(now int64) float64 { return decayed(f.stored.Load(), now) }

func (f *FailureRate) count(failed bool, now int64) {
	value := 0.0
	if failed {
		value = 1
	}
	for {
		old := f.stored.Load()
		was := decayed(old, now)
		next := float32(was + (value-was)/failureWindow)
		if was == value || f.stored.CompareAndSwap(old, uint64(math.Float32bits(next))<<32|uint64(milliseconds(now))) {
			return
		}
	}
}

// decayed returns the stored failure rate, decayed to the present time.
func decayed(stored uint64, now int64) float64 {
	rate := float64(math.Float32frombits(uint32(stored >> 32)))
	if rate == 0 {
		return 0
	}
	age := time.Duration(uint32(milliseconds(now)-uint32(stored))) * time.Millisecond
	return rate * math.Exp2(-float64(age)/float64(failureHalfLife))
}

func milliseconds(now int64) uint32 { return uint32(now / int64(time.Millisecond)) }
