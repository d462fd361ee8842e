// Package balance chooses a target of a service for each request. A target is a server of one service; a node is the proxy
// process on the target's VM, which receives the target's requests from other nodes and forwards the calls that it makes.
//
// A Picker takes the better of two randomly selected targets, judged by this node's own requests in flight, by the load and
// failure rate that the targets' nodes report, and by the failures that this node has seen. It prefers the local availability
// zone, temporarily ejects failing or slow targets, and ramps up the traffic of new and returning targets.
//
// A Picker is safe for concurrent use. Pick and the function that ends a pick use a copy-on-write snapshot and atomics; only
// Update and ejections lock a mutex.
package balance

import (
	"encoding/binary"
	"log/slog"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeoncleat/wigeoncleat/internal/process/event"
	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
	"github.com/wigeoncleat/wigeoncleat/internal/version/policy"
)

// Target describes a server of a service and the node that receives its requests.
type Target struct {
	Address     string // of the target's node
	Incarnation uint64 // differs between processes with the same address; a new one counts as a new target
	Zone        string // availability zone
	Slots       int    // configured number of requests that run at once; upper bound of the limit that the target may report
}

// Result describes how a pick ended. The zero value is a complete response without a load report.
type Result struct {
	Failed    bool         // connection failed, no response in time, or a failure of the target
	Refused   bool         // refused by admission: the target is healthy but full
	Leaving   bool         // refused because the target or its node is shutting down or must not take new requests
	Cancelled bool         // the caller went away; says nothing about the target
	Load      message.Load // as reported; zero if there was none
}

const (
	// loadMaxAge is the age up to which a reported load or a refusal counts.
	loadMaxAge = time.Second
	// unknownLoad is the utilisation assumed for a target without a recent report, if no target of the local zone has a recent
	// report (see Condition and zoneLoad) either.
	unknownLoad = 0.5
	// spillLoad is the utilisation of a local target at which targets of other availability zones are considered.
	spillLoad = 0.8
	// spillMargin is the fraction of the local utilisation below which a target of another zone is the better choice.
	// Without a margin, targets of equal load would exchange requests across zones. A smaller value leaves capacity of other
	// zones idle while the local targets are full: at 0.75, a large target among small ones kept a quarter of its slots free.
	spillMargin = 0.9
	// A local target is too slow if its mean latency exceeds spillLatency times that of the remote target by more than
	// spillLatencyFloor.
	spillLatency      = 2
	spillLatencyFloor = 5 * time.Millisecond
	// exploreShare is the fraction of picks that go to another zone in any case, so that its latency is known.
	exploreShare = 1.0 / 64
	// outlierFactor is the multiple of the median latency of the other targets above which a target is ejected. A target
	// that runs at a quarter of its speed stays: it still completes work, and its requests in flight already divert others.
	outlierFactor = 5
	// outlierFloor is added to that limit, so that small differences between fast targets eject none.
	outlierFloor = 10 * time.Millisecond
	// outlierSamples is the number of responses before a target's latency is compared, outlierEvery the number between checks.
	outlierSamples = 20
	outlierEvery   = 16
	// latencyWindow is the number of responses over which the moving average of the latency is taken.
	latencyWindow = 16
	// failurePenalty weights failures in the score, which is multiplied by 1 + failurePenalty * failure rate: a target that
	// fails a tenth of its requests is scored like one with twice the load. A failure costs more than one request of load,
	// because a failed call usually fails its whole call chain, or uses a retry of a budget that other calls share.
	failurePenalty = 10
	// failureMargin is the amount by which the failure rate of a local target may exceed that of a remote one before the
	// remote one is preferred.
	failureMargin = 0.05
	// maxEjectTime bounds the doubling of ejection times, so that a repaired target returns within a minute, or within the
	// configured ejection time if that is longer.
	maxEjectTime = time.Minute
	// ejectResetFactor says when the doubling of ejection times starts anew: once the last ejection of the target ended more
	// than this multiple of the configured ejection time ago.
	ejectResetFactor = 10
	// rampStartShare is the fraction of its normal traffic that a new or returning target gets at first.
	rampStartShare = 0.1
	// DefaultRampTime is the time in which a new or returning target reaches its normal share of traffic.
	DefaultRampTime = 5 * time.Second
	// leavingTime is the time for which a target is not picked after it refused a request as leaving. Membership removes a
	// target that leaves from the list of targets within seconds. For one that stays in the list, the next request after this
	// time shows whether it still refuses.
	leavingTime = time.Second
	// sampleTries is the number of random samples before the list is scanned for an eligible target.
	sampleTries = 4
)

// Picker chooses targets of one service.
type Picker struct {
	zone     string
	origin   time.Time      // times in the state are nanoseconds since origin, plus one; zero means never
	random   func() float64 // in [0, 1); safe for concurrent use; replaced by tests
	settings atomic.Pointer[settings]
	snapshot atomic.Pointer[snapshot]
	zoneLoad zoneLoad
	mu       sync.Mutex // held by Update and ejections
}

type settings struct {
	policy.Balance
	ramp time.Duration
}

// snapshot is an immutable list of targets.
type snapshot struct {
	all, local, remote []*candidate
}

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
	ejectedUntil        atomic.Int64 // end of the ejection
	leavingUntil        atomic.Int64 // end of the time without picks after a refusal as leaving
	rampFrom            atomic.Int64 // start of the ramp; for an ejected target the end of its ejection; zero: none

	ejectTime time.Duration // length of the last ejection; guarded by the Picker's mutex
}

// New returns a Picker without targets for a node in the given availability zone.
func New(zone string, b policy.Balance, ramp time.Duration) *Picker {
	p := &Picker{zone: zone, origin: time.Now(), random: rand.Float64}
	p.SetPolicy(b, ramp)
	p.snapshot.Store(&snapshot{})
	return p
}

// SetPolicy replaces the settings. Ejections in progress keep their length.
func (p *Picker) SetPolicy(b policy.Balance, ramp time.Duration) {
	p.settings.Store(&settings{b, ramp})
}

func (p *Picker) now() int64 { return int64(time.Since(p.origin)) + 1 }

// Update replaces the list of targets. Targets that stay keep their state. New ones start with a small share of traffic,
// unless there were no targets before.
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
		m := &candidate{t, s, &p.zoneLoad}
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
// called with the result of the request; calls after the first have no effect.
func (p *Picker) Pick(exclude ...string) (Target, func(Result), bool) {
	now, set, snap := p.now(), p.settings.Load(), p.snapshot.Load()
	return p.begin((&pick{p, set, now, exclude}).choose(snap), now)
}

// Size returns the number of targets.
func (p *Picker) Size() int { return len(p.snapshot.Load().all) }

// PickStable is like Pick, but nodes that know the same targets choose the same one for a key, whatever their state.
func (p *Picker) PickStable(key uint64, exclude ...string) (Target, func(Result), bool) {
	var best *candidate
	var highest uint64
	for _, m := range p.snapshot.Load().all {
		weight := StableWeight(m.Address, key)
		if !slices.Contains(exclude, m.Address) && (best == nil || weight > highest) {
			best, highest = m, weight
		}
	}
	return p.begin(best, p.now())
}

// StableWeight returns the weight by which PickStable orders targets; the highest is chosen.
func StableWeight(address string, key uint64) uint64 {
	return xxhash.Sum64(binary.LittleEndian.AppendUint64([]byte(address), key))
}

// begin counts a request at the chosen target.
func (p *Picker) begin(m *candidate, now int64) (Target, func(Result), bool) {
	if m == nil {
		return Target{}, nil, false
	}
	m.inFlight.Add(1)
	var ended atomic.Bool
	return m.Target, func(r Result) {
		if !ended.Swap(true) {
			p.finish(m, now, r)
		}
	}, true
}

// pick holds the inputs of one choice.
type pick struct {
	*Picker
	set     *settings
	now     int64
	exclude []string
}

// choose prefers the local availability zone unless its target is the worse choice.
func (p *pick) choose(snap *snapshot) *candidate {
	local := p.betterOfTwo(snap.local, p.sample(snap.local, nil))
	remote := p.sample(snap.remote, nil)
	if local != nil && remote != nil && local.busy(p.now) {
		remote = p.betterOfTwo(snap.remote, remote) // a single sample is often as full as the local target
	}
	switch {
	case local == nil:
		if remote = p.betterOfTwo(snap.remote, remote); remote != nil {
			return remote
		}
	case remote != nil && (p.random() < exploreShare || local.worseThan(remote, p.now)):
		return p.betterOfTwo(snap.remote, remote)
	default:
		return local
	}
	// All targets are ejected, leaving or excluded. An ejected or leaving target is a better choice than none.
	return p.scan(snap.all, true)
}

// betterOfTwo samples a second target and returns the better of the two. Without a first one it returns any eligible target.
func (p *pick) betterOfTwo(list []*candidate, first *candidate) *candidate {
	if first == nil {
		return p.scan(list, false)
	}
	if len(list) > 1 {
		if second := p.sample(list, first); second != nil && second.score(p.now) < first.score(p.now) {
			return second
		}
	}
	return first
}

// eligible reports whether the target may be picked, apart from its ramp.
func (p *pick) eligible(m *candidate) bool {
	return m.ejectedUntil.Load() <= p.now && m.leavingUntil.Load() <= p.now && !slices.Contains(p.exclude, m.Address)
}

// sample returns a random eligible candidate other than the given one, or nil if sampleTries attempts find none.
func (p *pick) sample(list []*candidate, except *candidate) *candidate {
	if len(list) == 0 {
		return nil
	}
	for range sampleTries {
		m := list[p.index(len(list))]
		if m != except && p.eligible(m) && p.passesRamp(m, p.set, p.now) {
			return m
		}
	}
	return nil
}

// scan returns the first eligible candidate from a random position on. With anyState, it returns the first that is not
// excluded.
func (p *pick) scan(list []*candidate, anyState bool) *candidate {
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

// index returns a random integer in [0, n).
func (p *Picker) index(n int) int { return int(p.random() * float64(n)) }

// passesRamp reports whether a sampled target may be used. During its ramp, a target is accepted with a probability that
// grows to one.
func (p *Picker) passesRamp(m *candidate, set *settings, now int64) bool {
	from := m.rampFrom.Load()
	if from == 0 {
		return true
	}
	share := rampStartShare + (1-rampStartShare)*float64(now-from)/float64(max(1, set.ramp))
	if share >= 1 {
		m.rampFrom.CompareAndSwap(from, 0)
		return true
	}
	return p.random() < share
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

func (m *candidate) busy(now int64) bool { return m.occupancy(now) >= spillLoad }

// worseThan reports whether a local target is a worse choice than one of another zone.
func (m *candidate) worseThan(remote *candidate, now int64) bool {
	if m.busy(now) && remote.occupancy(now) < spillMargin*m.occupancy(now) {
		return true
	}
	if m.failureRate(now) > remote.failureRate(now)+failureMargin {
		return true
	}
	if m.samples.Load() < outlierSamples || remote.samples.Load() < outlierSamples {
		return false
	}
	return m.meanLatency() > spillLatency*remote.meanLatency()+spillLatencyFloor.Seconds()
}

func (s *state) meanLatency() float64 { return math.Float64frombits(s.latency.Load()) }

// finish records the result of a pick.
func (p *Picker) finish(m *candidate, start int64, r Result) {
	m.inFlight.Add(-1)
	now := p.now()
	if r.Load.Limit > 0 {
		m.load.Store(uint64(uint32(max(0, r.Load.InFlight)))<<32 | uint64(uint32(r.Load.Limit)))
		m.loadAt.Store(now)
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
		if n := m.samples.Add(1); n >= outlierSamples && n%outlierEvery == 0 && p.outlier(m, now) {
			p.eject(m, "latency")
		}
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

// outlier reports whether the target's latency is far above the median of the other targets.
func (p *Picker) outlier(m *candidate, now int64) bool {
	var others []float64
	for _, o := range p.snapshot.Load().all {
		if o.state != m.state && o.samples.Load() >= outlierSamples && o.ejectedUntil.Load() <= now {
			others = append(others, o.meanLatency())
		}
	}
	if len(others) == 0 {
		return false
	}
	slices.Sort(others)
	return m.meanLatency() > outlierFactor*others[len(others)/2]+outlierFloor.Seconds()
}

// eject ejects a target and logs the cause, unless too many targets are ejected already.
func (p *Picker) eject(m *candidate, cause string) {
	if d := p.startEjection(m); d > 0 {
		event.Log(slog.Default(), event.TargetEjected, slog.String("address", m.Address),
			slog.String("cause", cause), slog.Duration("time", d))
	}
}

// startEjection ejects a target for a time that doubles with each ejection. It returns zero if the target is not ejected.
func (p *Picker) startEjection(m *candidate) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, set, all := p.now(), p.settings.Load(), p.snapshot.Load().all
	out := 0
	for _, o := range all {
		if o.ejectedUntil.Load() > now {
			out++
		}
	}
	until := m.ejectedUntil.Load()
	if until > now || float64(out+1) > set.EjectShare*float64(len(all)) {
		return 0
	}
	if m.ejectTime == 0 || now-until > int64(ejectResetFactor*set.EjectTime) {
		m.ejectTime = set.EjectTime
	} else {
		m.ejectTime = min(2*m.ejectTime, max(maxEjectTime, set.EjectTime))
	}
	back := now + int64(m.ejectTime)
	m.rampFrom.Store(back)
	m.samples.Store(0)
	m.latency.Store(0)
	// The first failure after the return ejects the target again; a successful response clears the count.
	m.consecutiveFailures.Store(int64(set.EjectFailures) - 1)
	m.ejectedUntil.Store(back)
	return m.ejectTime
}

// Ejected returns the addresses of the currently ejected targets.
func (p *Picker) Ejected() []string {
	now := p.now()
	var out []string
	for _, m := range p.snapshot.Load().all {
		if m.ejectedUntil.Load() > now {
			out = append(out, m.Address)
		}
	}
	return out
}
