package balance

import (
	"slices"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
)

const (
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
	// failureMargin is the amount by which the failure rate of a local target may exceed that of a remote one before the
	// remote one is preferred.
	failureMargin = 0.05
	// rampStartShare is the fraction of its normal traffic that a new or returning target gets at first.
	rampStartShare = 0.1
	// DefaultRampTime is the time in which a new or returning target reaches its normal share of traffic if it gives no answer and its
	// node does not report its pace.
	DefaultRampTime = 5 * time.Second
	// rampAnswerShare is the fraction by which each good answer raises that share: after nine, a target has its normal traffic.
	rampAnswerShare = 0.1
	// sampleTries is the number of random samples before the list is scanned for an eligible target.
	sampleTries = 4
)

// pick holds the inputs of one choice.
type pick struct {
	*Picker
	set      *settings
	now      int64
	exclude  []string
	kind     int           // number of the kind of request
	timeLeft time.Duration // see Request
}

// choose prefers the local availability zone unless its target is the worse choice.
func (p *pick) choose(snap *snapshot) *candidate {
	local := p.betterOfTwo(snap.local, p.sample(snap.local, nil))
	remote := p.sample(snap.remote, nil)
	if local != nil && remote != nil && (local.busy(p.now) || p.risk(local) > riskMargin) {
		remote = p.betterOfTwo(snap.remote, remote) // a single sample is often as full as the local target
	}
	switch {
	case local == nil:
		if remote = p.betterOfTwo(snap.remote, remote); remote != nil {
			return remote
		}
	case remote != nil && (p.random() < exploreShare || p.worse(local, remote)):
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
		if second := p.sample(list, first); second != nil && p.better(second, first) {
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

// passesRamp reports whether a sampled target may be used. During its ramp, a target is accepted with a probability that grows to
// one, with its answers or with time, so that a target of a sender with few requests does not wait for answers that never come.
func (p *Picker) passesRamp(m *candidate, set *settings, now int64) bool {
	from := m.rampFrom.Load()
	if from == 0 {
		return true
	}
	share := max(float64(now-from)/float64(max(1, set.ramp)), rampAnswerShare/(1-rampStartShare)*float64(m.rampAnswers.Load()))
	share = rampStartShare + (1-rampStartShare)*share
	if share >= 1 {
		m.endRamp(from)
		return true
	}
	return p.random() < share
}

// endRamp ends the ramp that began at the given time.
func (s *state) endRamp(from int64) {
	if s.rampFrom.CompareAndSwap(from, 0) {
		s.rampAnswers.Store(0)
		s.returning.Store(false)
	}
}

// recordPace ends the ramp of a new target whose node reports its pace: that node sees all of its requests and bounds them, so that
// the target's limit and load say what it can take. A target that was ejected has failed requests of this node, whatever its node
// says.
func (p *Picker) recordPace(m *candidate, share float64) {
	switch {
	case share == 0:
	case !message.ValidPace(share):
		p.ignoredFigures.Add(1)
	case m.rampFrom.Load() != 0 && !m.returning.Load():
		m.endRamp(m.rampFrom.Load())
	}
}

func (m *candidate) busy(now int64) bool { return m.occupancy(now) >= spillLoad }

// worse reports whether a local target is a worse choice for the request than one of another zone.
func (p *pick) worse(m, remote *candidate) bool {
	now := p.now
	if p.risk(m) > p.risk(remote)+riskMargin && remote.hasRoom(now) {
		return true
	}
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
