package balance

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
)

const (
	// failureWeight is the number of results over which the share of failures is averaged.
	failureWeight = 32
	// failureHalfLife is the time in which a share of failures counts half as much, so that a target that is no longer chosen
	// is tried again within seconds.
	failureHalfLife = 2 * time.Second
	// failureFloor is the share of failures below which targets are not told apart.
	failureFloor = 0.02
	// toldValid is the age up to which counts what the node beside a target has told. It tells once a second while the target is
	// in use.
	toldValid = 3 * time.Second
	// zoneWeight is the number of told loads over which that of the availability zone is averaged.
	zoneWeight = 16
)

// Condition is what the node beside a target sees of it: all of its requests, while every other node sees few.
type Condition struct {
	Load        message.Load
	FailureRate float64 // share of the latest requests that failed by the target's own fault
}

// SetCondition records the condition that the node at the address reports of its target.
func (p *Picker) SetCondition(address string, c Condition) {
	now := p.now()
	for _, m := range p.snapshot.Load().all {
		if m.Address == address {
			m.told.set(c, now)
			if load, ok := m.told.utilisation(now); ok && m.Zone == p.zone {
				p.zoneLoad.add(load, now)
			}
		}
	}
}

// told is the condition of a target as the node beside it told.
type told struct {
	load    atomic.Uint64 // requests in flight in the high half, limit in the low half
	failing atomic.Uint32 // float32
	at      atomic.Int64
}

func (t *told) set(c Condition, now int64) {
	t.load.Store(uint64(uint32(max(0, c.Load.InFlight)))<<32 | uint64(uint32(max(0, c.Load.Limit))))
	t.failing.Store(math.Float32bits(float32(min(1, max(0, c.FailureRate)))))
	t.at.Store(now)
}

func (t *told) valid(now int64) bool {
	at := t.at.Load()
	return at != 0 && now-at < int64(toldValid)
}

func (t *told) utilisation(now int64) (float64, bool) {
	load := t.load.Load()
	limit := uint32(load)
	if limit == 0 || !t.valid(now) {
		return 0, false
	}
	return float64(load>>32) / float64(limit), true
}

func (t *told) failureShare(now int64) float64 {
	if !t.valid(now) {
		return 0
	}
	return float64(math.Float32frombits(t.failing.Load()))
}

// zoneLoad is the mean load of the service's targets in the own availability zone. It stands for targets of which nothing is
// known: without it a full zone would send everything to others, which are as full.
type zoneLoad struct {
	mean atomic.Uint64 // float64
	at   atomic.Int64
}

func (z *zoneLoad) add(load float64, now int64) {
	mean := math.Float64frombits(z.mean.Load())
	if at := z.at.Load(); at == 0 || now-at >= int64(toldValid) {
		mean = load
	}
	z.mean.Store(math.Float64bits(mean + (load-mean)/zoneWeight)) // a lost update is made up for by the next
	z.at.Store(now)
}

func (z *zoneLoad) get(now int64) float64 {
	if at := z.at.Load(); at == 0 || now-at >= int64(toldValid) {
		return unknownLoad
	}
	return math.Float64frombits(z.mean.Load())
}

// failureShare returns the share of failures among the latest results, own or told, whichever is larger. Single failures count
// until they have faded; a target that fails part of its requests while its health is good shows only here.
func (s *state) failureShare(now int64) float64 {
	if share := max(s.failing.share(now), s.told.failureShare(now)); share >= failureFloor {
		return share
	}
	return 0
}

// FailureRate is the moving average of failures among the latest results. The zero value is a rate of zero. It is safe for
// concurrent use.
type FailureRate struct {
	stored atomic.Uint64 // float32 in the high half, time in milliseconds in the low half
}

// Count adds a result.
func (f *FailureRate) Count(failed bool, now time.Duration) { f.count(failed, int64(now)) }

// Rate returns the rate at a time on the same clock.
func (f *FailureRate) Rate(now time.Duration) float64 { return f.share(int64(now)) }

func (f *FailureRate) share(now int64) float64 { return faded(f.stored.Load(), now) }

func (f *FailureRate) count(failed bool, now int64) {
	value := 0.0
	if failed {
		value = 1
	}
	for {
		old := f.stored.Load()
		was := faded(old, now)
		next := float32(was + (value-was)/failureWeight)
		if was == value || f.stored.CompareAndSwap(old, uint64(math.Float32bits(next))<<32|uint64(milliseconds(now))) {
			return
		}
	}
}

// faded returns the share of failures that was stored, as it counts now.
func faded(stored uint64, now int64) float64 {
	share := float64(math.Float32frombits(uint32(stored >> 32)))
	if share == 0 {
		return 0
	}
	age := time.Duration(uint32(milliseconds(now)-uint32(stored))) * time.Millisecond
	return share * math.Exp2(-float64(age)/float64(failureHalfLife))
}

func milliseconds(now int64) uint32 { return uint32(now / int64(time.Millisecond)) }
