// Package balance chooses a target of a service for each request.
//
// A Picker takes the better of two randomly selected targets by the node's own count of requests in flight and the load
// that responses report, prefers the local availability zone, ejects failing or slow targets for a time, and brings new
// and returning targets in slowly.
//
// A Picker is safe for concurrent use. Pick and the function that ends a pick use a copy-on-write snapshot and atomics; a
// mutex is taken only by Update and to eject a target.
package balance

import (
	"log/slog"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/process/event"
	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
	"github.com/wigeoncleat/wigeoncleat/internal/version/policy"
)

// Target is one target of the service.
type Target struct {
	Address     string // of the node beside the target
	Incarnation uint64 // a new incarnation is a new target
	Zone        string // availability zone
	Slots       int    // from the policy; upper limit of the size that a target may report
}

// Result describes how a pick ended. The zero value is a complete response without a load report.
type Result struct {
	Failed    bool         // connection failed, no response in time, or a failure of the target
	Refused   bool         // refused by admission: the target works and is full
	Leaving   bool         // refused because the target or its node is leaving
	Cancelled bool         // the caller left; says nothing about the target
	Load      message.Load // as reported; zero if there was none
}

const (
	// loadValid is the age up to which a reported load or a refusal counts.
	loadValid = time.Second
	// unknownLoad is the utilisation assumed for a target without a recent report.
	unknownLoad = 0.5
	// spillLoad is the utilisation of a local target from which targets of other availability zones are considered.
	spillLoad = 0.8
	// spillMargin is the part of the local utilisation below which another zone's target is the better choice. Without a
	// margin, targets of equal load would trade requests across zones. The rest stays idle at targets of other zones while
	// the local ones are full: at 0.75, a large target next to small ones kept a quarter of its slots free.
	spillMargin = 0.9
	// spillLatency and spillLatencyFloor say when a local target is too slow: its latency exceeds the other's by this
	// factor and this time.
	spillLatency      = 2
	spillLatencyFloor = 5 * time.Millisecond
	// exploreShare is the share of picks that go to another zone, so that its latency is known.
	exploreShare = 1.0 / 64
	// outlierFactor is the multiple of the median latency of the other targets from which a target is ejected. A target
	// at a quarter of its speed stays: it still completes work, and its requests in flight already divert the rest.
	outlierFactor = 5
	// outlierFloor is added, so that small differences of fast targets eject none.
	outlierFloor = 10 * time.Millisecond
	// outlierSamples is the number of responses before a latency is compared, outlierEvery the number between checks.
	outlierSamples = 20
	outlierEvery   = 16
	// latencyWeight is the number of responses over which latency is averaged.
	latencyWeight = 16
	// failureCost is what a failed request costs in requests of load: a target that fails a tenth of its requests is chosen
	// like one with twice the load. A call that fails mostly loses its chain, and the retry that it uses is missing elsewhere.
	failureCost = 10
	// failureMargin is the share of failures by which a local target may exceed one of another zone and still be preferred.
	failureMargin = 0.05
	// maxEjectTime bounds the doubling, so that a repaired target returns within a minute.
	maxEjectTime = time.Minute
	// calmFactor is the number of initial ejection times without an ejection after which the time starts anew.
	calmFactor = 10
	// rampStart is the share of its normal traffic that a new or returning target gets at first.
	rampStart = 0.1
	// DefaultRampTime is the time in which a new or returning target reaches its normal share.
	DefaultRampTime = 5 * time.Second
	// leavingTime is the time for which a target is not picked after it said that it leaves. Membership removes it within
	// seconds; if the target stays after all, one request finds out each time.
	leavingTime = time.Second
	// drawTries is the number of random draws before the list is scanned for an eligible target.
	drawTries = 4
)

// Picker chooses targets of one service.
type Picker struct {
	zone     string
	origin   time.Time      // times below are nanoseconds since origin, plus one
	random   func() float64 // from zero to one; replaced by tests, safe for concurrent use
	settings atomic.Pointer[settings]
	snapshot atomic.Pointer[snapshot]
	zoneLoad zoneLoad
	mu       sync.Mutex // Update and ejection
}

type settings struct {
	policy.Balance
	ramp time.Duration
}

// snapshot is the immutable list of targets.
type snapshot struct {
	all, local, remote []*member
}

// member is a target with its state. The state outlives changes of zone and slots.
type member struct {
	Target
	*state
	zoneLoad *zoneLoad
}

type state struct {
	inFlight atomic.Int64
	load     atomic.Uint64 // reported requests in the high half, reported limit in the low half
	loadAt   atomic.Int64
	refused  atomic.Int64 // time of the last refusal
	latency  atomic.Uint64
	samples  atomic.Int64
	failures atomic.Int64 // consecutive
	failing  FailureRate
	told     told
	ejected  atomic.Int64 // end of the ejection
	leaving  atomic.Int64 // end of the time without picks after a refusal as leaving
	rampFrom atomic.Int64 // start of the ramp; zero: none

	ejectTime time.Duration // length of the last ejection; under the Picker's mutex
}

// New returns a Picker without targets for a node in the given availability zone.
func New(zone string, b policy.Balance, ramp time.Duration) *Picker {
	p := &Picker{zone: zone, origin: time.Now(), random: rand.Float64}
	p.SetPolicy(b, ramp)
	p.snapshot.Store(&snapshot{})
	return p
}

// SetPolicy replaces the settings. Ejections that have begun keep their length.
func (p *Picker) SetPolicy(b policy.Balance, ramp time.Duration) {
	p.settings.Store(&settings{b, ramp})
}

func (p *Picker) now() int64 { return int64(time.Since(p.origin)) + 1 }

// Update replaces the list of targets. Targets that stay keep their state; new ones start with a small share of traffic,
// except in the first list, where all are new.
func (p *Picker) Update(targets []Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, old := p.now(), p.snapshot.Load()
	type key struct {
		address     string
		incarnation uint64
	}
	known := make(map[key]*state, len(old.all))
	for _, m := range old.all {
		known[key{m.Address, m.Incarnation}] = m.state
	}
	next := &snapshot{}
	for _, t := range targets {
		s := known[key{t.Address, t.Incarnation}]
		if s == nil {
			s = &state{}
			if len(old.all) > 0 {
				s.rampFrom.Store(now)
			}
		}
		m := &member{t, s, &p.zoneLoad}
		next.all = append(next.all, m)
		if t.Zone == p.zone {
			next.local = append(next.local, m)
		} else {
			next.remote = append(next.remote, m)
		}
	}
	p.snapshot.Store(next)
}

// Pick chooses a target whose address is not excluded and reports whether there is one. The returned function must be
// called once with the result; further calls have no effect.
func (p *Picker) Pick(exclude ...string) (Target, func(Result), bool) {
	now, set, snap := p.now(), p.settings.Load(), p.snapshot.Load()
	m := (&pick{p, set, now, exclude}).choose(snap)
	if m == nil {
		return Target{}, nil, false
	}
	m.inFlight.Add(1)
	var ended atomic.Bool
	return m.Target, func(r Result) {
		if !ended.Swap(true) {
			p.end(m, now, r)
		}
	}, true
}

// pick is what one choice looks at.
type pick struct {
	*Picker
	set     *settings
	now     int64
	exclude []string
}

// choose prefers the local availability zone until its target is the worse choice.
func (p *pick) choose(snap *snapshot) *member {
	local := p.better(snap.local, p.draw(snap.local, nil))
	remote := p.draw(snap.remote, nil)
	if local != nil && remote != nil && local.busy(p.now) {
		remote = p.better(snap.remote, remote) // a single draw often meets a target that is as full
	}
	switch {
	case local == nil:
		if remote = p.better(snap.remote, remote); remote != nil {
			return remote
		}
	case remote != nil && (p.random() < exploreShare || local.worse(remote, p.now)):
		return p.better(snap.remote, remote)
	default:
		return local
	}
	// Every target is ejected, leaving or excluded. An ejected target is a better choice than none.
	return p.scan(snap.all, true)
}

// better returns the better of a first draw and a second one. Without a first draw it takes any eligible target.
func (p *pick) better(list []*member, first *member) *member {
	if first == nil {
		return p.scan(list, false)
	}
	if len(list) > 1 {
		if second := p.draw(list, first); second != nil && second.score(p.now) < first.score(p.now) {
			return second
		}
	}
	return first
}

// eligible reports whether the target may be picked, apart from its ramp.
func (p *pick) eligible(m *member) bool {
	return m.ejected.Load() <= p.now && m.leaving.Load() <= p.now && !slices.Contains(p.exclude, m.Address)
}

// draw returns a random eligible member other than the given one, or nil if a few tries find none.
func (p *pick) draw(list []*member, not *member) *member {
	if len(list) == 0 {
		return nil
	}
	for range drawTries {
		m := list[p.index(len(list))]
		if m != not && p.eligible(m) && p.ramped(m, p.set, p.now) {
			return m
		}
	}
	return nil
}

// scan returns the first eligible member from a random position on, or with anyState the first that is not excluded.
func (p *pick) scan(list []*member, anyState bool) *member {
	if len(list) == 0 {
		return nil
	}
	start := p.index(len(list))
	for i := range list {
		m := list[(start+i)%len(list)]
		if p.eligible(m) || (anyState && !slices.Contains(p.exclude, m.Address)) {
			return m
		}
	}
	return nil
}

// index returns a random number below n.
func (p *Picker) index(n int) int { return int(p.random() * float64(n)) }

// ramped reports whether a draw of the target counts. A target in its ramp is drawn with a probability that grows to one.
func (p *Picker) ramped(m *member, set *settings, now int64) bool {
	from := m.rampFrom.Load()
	if from == 0 {
		return true
	}
	share := rampStart + (1-rampStart)*float64(now-from)/float64(max(1, set.ramp))
	if share >= 1 {
		m.rampFrom.CompareAndSwap(from, 0)
		return true
	}
	return p.random() < share
}

// size returns the number of requests that the target runs at once: what it reports, at most its slots.
func (m *member) size() float64 {
	limit, slots := float64(uint32(m.load.Load())), float64(max(1, m.Slots))
	if limit == 0 {
		return slots
	}
	return min(limit, slots)
}

// utilisation returns the reported utilisation, which is above one with a queue. A refusal counts as a full target,
// whatever it reports.
func (m *member) utilisation(now int64) float64 {
	least := 0.0
	if at := m.refused.Load(); at != 0 && now-at < int64(loadValid) {
		least = 1
	}
	if at := m.loadAt.Load(); at != 0 && now-at < int64(loadValid) && at >= m.told.at.Load() {
		return max(least, float64(m.load.Load()>>32)/m.size())
	}
	if load, ok := m.told.utilisation(now); ok {
		return max(least, load)
	}
	return max(least, m.zoneLoad.get(now))
}

// score orders targets; lower is better. The reported load at most doubles a score, so that a false report attracts a
// bounded excess of traffic.
func (m *member) score(now int64) float64 {
	load := float64(m.inFlight.Load()+1) / m.size() * (1 + min(1, m.utilisation(now)))
	return load * (1 + failureCost*m.failureShare(now))
}

// fullness returns the larger of own and reported utilisation.
func (m *member) fullness(now int64) float64 {
	return max(float64(m.inFlight.Load())/m.size(), m.utilisation(now))
}

func (m *member) busy(now int64) bool { return m.fullness(now) >= spillLoad }

// worse reports whether a local target is a worse choice than one of another zone.
func (m *member) worse(remote *member, now int64) bool {
	if m.busy(now) && remote.fullness(now) < spillMargin*m.fullness(now) {
		return true
	}
	if m.failureShare(now) > remote.failureShare(now)+failureMargin {
		return true
	}
	if m.samples.Load() < outlierSamples || remote.samples.Load() < outlierSamples {
		return false
	}
	return m.seconds() > spillLatency*remote.seconds()+spillLatencyFloor.Seconds()
}

func (s *state) seconds() float64 { return math.Float64frombits(s.latency.Load()) }

// end records the result of a pick.
func (p *Picker) end(m *member, start int64, r Result) {
	m.inFlight.Add(-1)
	now := p.now()
	if r.Load.Limit > 0 {
		m.load.Store(uint64(uint32(max(0, r.Load.InFlight)))<<32 | uint64(uint32(r.Load.Limit)))
		m.loadAt.Store(now)
	}
	switch {
	case r.Cancelled:
	case r.Leaving:
		m.leaving.Store(now + int64(leavingTime))
	case r.Refused:
		m.refused.Store(now)
	case r.Failed:
		m.failing.count(true, now)
		if m.failures.Add(1) >= int64(p.settings.Load().EjectFailures) {
			p.eject(m, "failures")
		}
	default:
		if m.failures.Load() != 0 {
			m.failures.Store(0)
		}
		m.failing.count(false, now)
		m.observe(time.Duration(now - start).Seconds())
		if n := m.samples.Add(1); n >= outlierSamples && n%outlierEvery == 0 && p.outlier(m, now) {
			p.eject(m, "latency")
		}
	}
}

// observe adds a latency to the moving average.
func (s *state) observe(seconds float64) {
	for {
		old := s.latency.Load()
		next := seconds
		if old != 0 {
			mean := math.Float64frombits(old)
			next = mean + (seconds-mean)/latencyWeight
		}
		if s.latency.CompareAndSwap(old, math.Float64bits(next)) {
			return
		}
	}
}

// outlier reports whether the target's latency is far above the median of the others.
func (p *Picker) outlier(m *member, now int64) bool {
	var others []float64
	for _, o := range p.snapshot.Load().all {
		if o.state != m.state && o.samples.Load() >= outlierSamples && o.ejected.Load() <= now {
			others = append(others, o.seconds())
		}
	}
	if len(others) == 0 {
		return false
	}
	slices.Sort(others)
	return m.seconds() > outlierFactor*others[len(others)/2]+outlierFloor.Seconds()
}

// eject takes a target out and logs the cause, unless too many targets are out already.
func (p *Picker) eject(m *member, cause string) {
	if d := p.takeOut(m); d > 0 {
		event.Log(slog.Default(), event.TargetEjected, slog.String("address", m.Address),
			slog.String("cause", cause), slog.Duration("time", d))
	}
}

// takeOut ejects a target for a time that doubles with each ejection. It returns zero if the target stays.
func (p *Picker) takeOut(m *member) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, set, all := p.now(), p.settings.Load(), p.snapshot.Load().all
	out := 0
	for _, o := range all {
		if o.ejected.Load() > now {
			out++
		}
	}
	until := m.ejected.Load()
	if until > now || float64(out+1) > set.EjectShare*float64(len(all)) {
		return 0
	}
	if m.ejectTime == 0 || now-until > int64(calmFactor*set.EjectTime) {
		m.ejectTime = set.EjectTime
	} else {
		m.ejectTime = min(2*m.ejectTime, max(maxEjectTime, set.EjectTime))
	}
	back := now + int64(m.ejectTime)
	m.rampFrom.Store(back)
	m.samples.Store(0)
	m.latency.Store(0)
	// The first failure after the return ejects the target again; a response clears the count.
	m.failures.Store(int64(set.EjectFailures) - 1)
	m.ejected.Store(back)
	return m.ejectTime
}

// Ejected returns the addresses of the targets that are ejected now.
func (p *Picker) Ejected() []string {
	now := p.now()
	var out []string
	for _, m := range p.snapshot.Load().all {
		if m.ejected.Load() > now {
			out = append(out, m.Address)
		}
	}
	return out
}
