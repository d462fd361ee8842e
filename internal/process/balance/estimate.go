package balance

import (
	"maps"
	"math"
	"slices"
	"sync/atomic"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
)

const (
	// nearShare is the share of the time left for the target from which its estimate counts as near to the objective. The times of
	// one kind of request vary: at an estimate of 0.4 of the time left, about one request in twenty is late.
	nearShare = 0.4
	// latePenalty weights the risk of a late response in the score, which is multiplied by 1 + latePenalty * risk. A late response
	// is worth less than one in time, but more than a failure, see failurePenalty.
	latePenalty = 4
	// riskMargin is the amount by which the risk at a local target may exceed that at a remote one before the remote one is
	// preferred. A crossing of zones costs the callers bytes, so it has to save about every fourth request from being late.
	riskMargin = 0.25
	// roomLoad is the utilisation below which a target has room for requests that others would answer late.
	roomLoad = 0.8
	// slowdownTime is the time in which a reported slowdown fades to none, evenly. Targets pause for some hundred milliseconds, and
	// one that is avoided is asked by few requests whether it still does.
	slowdownTime = 1500 * time.Millisecond
	// timingMaxAge is the age up to which the usual time of a kind counts. It changes with the speed of the target only.
	timingMaxAge = time.Minute
	// maxKinds bounds the kinds of request of one service that are told apart. Those beyond it are distributed without estimates.
	maxKinds = 16
	// transitWindow is the number of responses over which the moving average of the time between the nodes is taken.
	transitWindow = 16
)

// Request is what the choice of a target depends on. The zero value states nothing, and the choice follows the load alone.
type Request struct {
	Kind     string        // name of the route
	TimeLeft time.Duration // until the objective of the route; not positive: the route has none, or it has passed
}

// kinds numbers the kinds of request of a service from one on; zero stands for those without a number. Readers load a map that is
// replaced as a whole.
type kinds struct {
	numbers atomic.Pointer[map[string]int]
}

func (k *kinds) number(name string) int {
	if numbers := k.numbers.Load(); numbers != nil {
		return (*numbers)[name]
	}
	return 0
}

// add gives a kind a number. It must not be called concurrently.
func (k *kinds) add(name string) int {
	numbers := map[string]int{}
	if old := k.numbers.Load(); old != nil {
		if n, ok := (*old)[name]; ok || len(*old) >= maxKinds {
			return n
		}
		numbers = maps.Clone(*old)
	}
	numbers[name] = len(numbers) + 1
	k.numbers.Store(&numbers)
	return numbers[name]
}

// kindNumber returns the number of a kind. It locks the mutex for a kind that was not seen before.
func (p *Picker) kindNumber(name string) int {
	n := p.kinds.number(name)
	if n != 0 || name == "" {
		return n
	}
	if numbers := p.kinds.numbers.Load(); numbers != nil && len(*numbers) >= maxKinds {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.kinds.add(name)
}

// timing holds the usual times of one kind of request at a target, as its node has reported them last.
type timing struct {
	own, calls atomic.Int64 // nanoseconds
	at         atomic.Int64
}

// slowdown is the factor on the usual times that the target's node has reported last.
type slowdown struct {
	stored atomic.Uint64 // factor as float32 bits in the high half, its time in milliseconds in the low half; zero: none
}

func (s *slowdown) set(factor float64, now int64) {
	s.stored.Store(uint64(math.Float32bits(float32(factor)))<<32 | uint64(milliseconds(now)))
}

func (s *slowdown) get(now int64) float64 {
	stored := s.stored.Load()
	factor := float64(math.Float32frombits(uint32(stored >> 32)))
	if factor == 0 || factor == 1 {
		return 1
	}
	age := time.Duration(milliseconds(now)-uint32(stored)) * time.Millisecond
	return 1 + (factor-1)*max(0, 1-float64(age)/float64(slowdownTime))
}

// recordTiming stores the figures of a response, unless they cannot be those of a target. The time at the target's node is taken
// off the latency of the request; what is left is the time between the nodes.
func (p *Picker) recordTiming(m *candidate, kind int, t message.Timing, latency, now int64) {
	if t == (message.Timing{}) || kind == 0 {
		return
	}
	if !t.Valid() {
		p.ignoredFigures.Add(1)
		return
	}
	m.slowdown.set(t.Slowdown, now)
	of := &m.timings[kind-1]
	of.own.Store(int64(t.Own))
	of.calls.Store(int64(t.Calls))
	of.at.Store(now)
	if t.Spent > 0 {
		between, mean := max(0, latency-int64(t.Spent)), m.transit.Load()
		if mean > 0 {
			between = mean + (between-mean)/transitWindow
		}
		m.transit.Store(between) // no CAS: the next response makes up for a lost update
	}
}

// estimate returns the time that a request of the kind would take now, in nanoseconds: at the target itself, and for its calls and
// the way between the nodes. Both are zero if they are not known. Requests that wait for a slot there delay it by the time in which
// the target works them off.
func (m *candidate) estimate(kind int, now int64) (own, rest float64) {
	if kind == 0 {
		return 0, 0
	}
	of := &m.timings[kind-1]
	usual := of.own.Load()
	if usual == 0 || now-of.at.Load() > int64(timingMaxAge) {
		return 0, 0
	}
	waiting := max(0, m.occupancy(now)-1)
	return float64(usual) * m.slowdown.get(now) * (1 + waiting), float64(of.calls.Load() + m.transit.Load())
}

// risk returns how likely the request is to miss its objective at the target, from zero (the objective is far, unknown or passed,
// or the target has no estimate) to one (the target takes longer than what its calls and the way leave of the time). It is zero too
// where they leave nothing, because no choice among the targets of this service can mend that.
func (p *pick) risk(m *candidate) float64 {
	if p.timeLeft <= 0 {
		return 0
	}
	own, rest := m.estimate(p.kind, p.now)
	left := float64(p.timeLeft) - rest
	if left <= 0 {
		return 0
	}
	return min(1, max(0, (own/left-nearShare)/(1-nearShare)))
}

// better reports whether a is the better choice of two targets for the request. The risk is graded and enters as a factor on the
// load, so that nodes that decide on the same old figures still divide their requests by load among the targets that can meet the
// objective. A target with a lower risk gets no precedence when it is busy: a queue there would cost the requests of all kinds more
// than the late responses.
func (p *pick) better(a, b *candidate) bool {
	loadA, loadB := a.score(p.now), b.score(p.now)
	if p.timeLeft > 0 {
		riskA, riskB := p.risk(a), p.risk(b)
		if riskA < riskB && a.hasRoom(p.now) || riskB < riskA && b.hasRoom(p.now) {
			loadA, loadB = loadA*(1+latePenalty*riskA), loadB*(1+latePenalty*riskB)
		}
	}
	return loadA < loadB
}

// UsualTime returns the median of the usual times of a kind of request at the targets other than that of the node at the address, or
// zero if none is known.
func (p *Picker) UsualTime(kind, except string) time.Duration {
	number, now := p.kinds.number(kind), p.now()
	if number == 0 {
		return 0
	}
	var times []int64
	for _, m := range p.snapshot.Load().all {
		of := &m.timings[number-1]
		if own := of.own.Load(); own > 0 && m.Address != except && now-of.at.Load() <= int64(timingMaxAge) {
			times = append(times, own)
		}
	}
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return time.Duration(times[len(times)/2])
}

func (m *candidate) hasRoom(now int64) bool { return m.occupancy(now) < roomLoad }

// IgnoredFigures returns how many reported figures were absent in part, negative, too large or no numbers, and so did not count.
func (p *Picker) IgnoredFigures() int64 { return p.ignoredFigures.Load() }
