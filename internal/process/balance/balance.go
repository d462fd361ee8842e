// Package balance chooses a target of a service for each request. A target is a server of one service; a node is the proxy
// process on the target's VM, which receives the target's requests from other nodes and forwards the calls that it makes.
//
// A Picker takes the better of two randomly selected targets, judged by this node's own requests in flight, by the load and
// failure rate that the targets' nodes report, and by the failures that this node has seen. For a request whose objective is near,
// it also estimates when each of them would answer. It prefers the local availability
// zone, temporarily ejects failing or slow targets, and ramps up the traffic of new and returning targets.
//
// A Picker is safe for concurrent use. Pick and the function that ends a pick use a copy-on-write snapshot and atomics; only
// Update and ejections lock a mutex.
package balance

import (
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

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
	Failed    bool           // connection failed, no response in time, or a failure of the target
	Refused   bool           // refused by admission: the target is healthy but full
	Leaving   bool           // refused because the target or its node is shutting down or must not take new requests
	Cancelled bool           // the caller went away; says nothing about the target
	Load      message.Load   // as reported; zero if there was none
	Timing    message.Timing // of the kind of request, as reported; zero if there was none
}

// Picker chooses targets of one service.
type Picker struct {
	zone       string
	origin     time.Time      // times in the state are nanoseconds since origin, plus one; zero means never
	random     func() float64 // in [0, 1); safe for concurrent use; replaced by tests
	settings   atomic.Pointer[settings]
	snapshot   atomic.Pointer[snapshot]
	zoneLoad   zoneLoad
	kinds      kinds
	mu         sync.Mutex // held by Update, ejections and for new kinds of request
	firstKnown int64      // when there were targets again after there had been none; guarded by mu

	ignoredFigures atomic.Int64
}

type settings struct {
	policy.Balance
	ramp time.Duration
}

// snapshot is an immutable list of targets.
type snapshot struct {
	all, local, remote []*candidate
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

// learnTime is the time after the first target in which others are taken for as old as that one: a node that has just started learns
// of the targets one after another, and a small share for the later ones would flood the first.
const learnTime = time.Second

// Update replaces the list of targets. Targets that stay keep their state. New ones start with a small share of traffic,
// unless the node knows none for longer than learnTime.
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
	if len(old.all) == 0 {
		p.firstKnown = now
	}
	next := &snapshot{}
	for _, t := range targets {
		s := known[key{t.Address, t.Incarnation}]
		if s == nil {
			s = &state{}
			if p.firstKnown != 0 && now-p.firstKnown >= int64(learnTime) {
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

// Pick chooses a target for the request whose address is not excluded, and reports whether there is one. The returned function
// must be called with the result of the request; calls after the first have no effect.
func (p *Picker) Pick(w Request, exclude ...string) (Target, func(Result), bool) {
	now, set, snap := p.now(), p.settings.Load(), p.snapshot.Load()
	kind := p.kindNumber(w.Kind)
	return p.begin((&pick{p, set, now, exclude, kind, w.TimeLeft}).choose(snap), kind, now)
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
	return p.begin(best, 0, p.now())
}

// StableWeight returns the weight by which PickStable orders targets; the highest is chosen.
func StableWeight(address string, key uint64) uint64 {
	return xxhash.Sum64(binary.LittleEndian.AppendUint64([]byte(address), key))
}

// begin counts a request at the chosen target.
func (p *Picker) begin(m *candidate, kind int, now int64) (Target, func(Result), bool) {
	if m == nil {
		return Target{}, nil, false
	}
	m.inFlight.Add(1)
	var ended atomic.Bool
	return m.Target, func(r Result) {
		if !ended.Swap(true) {
			p.finish(m, kind, now, r)
		}
	}, true
}
