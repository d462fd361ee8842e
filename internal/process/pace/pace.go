// Package pace decides how many of its slots a target uses after it has started or returned.
//
// The load patterns are a target that starts cold among warm ones, and a service whose targets all start cold. A cold target answers
// slowly for some seconds, may fail requests, and may get slower the more requests it runs. The node beside the target decides, because
// all requests of the target pass through it; senders that decide each by themselves add up to a flood or leave the target idle. The
// limit starts at a share of the slots, grows by one with each good answer, and falls when answers fail or become slower as it grows.
// The ramp ends when the answers are level with those of the target's peers or its own past, or no longer improve.
//
// A Pacer is safe for concurrent use.
package pace

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// Settings are the thresholds of the pace.
type Settings struct {
	StartShare   float64 // share of the slots that a target uses at first
	FailureShare float64 // share of failed answers from which the limit falls
	SlowFactor   float64 // factor on the best times since the start from which the limit falls
}

// Default returns the settings that apply to what is not stated. A cold target at half of its speed that answers within 0.2 s uses all
// of its slots after 0.4 s. A target that fails every fourth request costs its callers more than it carries.
func Default() Settings { return Settings{StartShare: 0.25, FailureShare: 0.25, SlowFactor: 2} }

// ErrSettings is returned for settings out of range.
var ErrSettings = errors.New("pace settings out of range")

// Validate returns an error for each setting that is out of range.
func (s Settings) Validate() error {
	var problems []error
	check := func(ok bool, name string, value float64, allowed string) {
		if !ok {
			problems = append(problems, fmt.Errorf("%w: %s = %v is not %s", ErrSettings, name, value, allowed))
		}
	}
	check(s.StartShare > 0 && s.StartShare <= 1, "start_share", s.StartShare, "above 0 and at most 1")
	check(s.FailureShare > 0 && s.FailureShare < 1, "failure_share", s.FailureShare, "between 0 and 1")
	check(s.SlowFactor > 1 && s.SlowFactor <= 100, "slow_factor", s.SlowFactor, "above 1 and at most 100")
	return errors.Join(problems...)
}

const (
	// minStart is the least limit at the start, so that one slow request does not block the target.
	minStart = 4
	// fallFactor is the factor on the limit when it falls. The target goes on with what it carried a moment ago.
	fallFactor = 0.6
	// failureAnswers and trendAnswers are the numbers of answers over which failures and times are averaged. The times of one kind of
	// request vary by as much as their mean, so that over eight answers their spread looks like a change.
	failureAnswers = 8
	trendAnswers   = 32
	// maxRatio bounds how much a single answer counts.
	maxRatio = 8
	// levelRatio is the ratio of the times to those of the peers up to which the target is level with them.
	levelRatio = 1.5
	// steadyRatio is the ratio of the trend to the one of steadySpan before from which the times no longer improve. A cold target can
	// be at half of its speed for three seconds without a change.
	steadyRatio = 0.9
	steadySpan  = 5 * time.Second
	// steadyFailures is the share of failed answers above which the ramp does not end.
	steadyFailures = 0.05
	// WarmAge is the age of a target process from which it counts as warm when its node finds it. Targets are cold for some seconds.
	WarmAge = 30 * time.Second
	// maxWarmup bounds the warm-up that a target may report. A longer one counts as not reported.
	maxWarmup = time.Minute
)

// ValidWarmup reports whether a warm-up that a target states can be used.
func ValidWarmup(d time.Duration) bool { return d > 0 && d <= maxWarmup }

// Cause says why the pace has changed.
type Cause string

// Causes of a change.
const (
	None     Cause = ""
	Failures Cause = "failures" // too many answers failed
	Slower   Cause = "slower"   // answers became slower as the limit grew
	Level    Cause = "level"    // the times are those of the peers or of the target's past: the ramp has ended
	Steady   Cause = "steady"   // the times no longer improve: the ramp has ended
)

// Answer describes an answer of the target.
type Answer struct {
	Failed bool          // failed, or no answer came
	Own    time.Duration // time at the target without its calls
	Usual  time.Duration // time of the target itself for this kind of request so far
	// Reference is the time of the peers for this kind of request, or of the target before its start. Zero: not known.
	Reference time.Duration
}

// Pacer paces one target. Points in time are durations since any fixed moment, on the monotonic clock.
type Pacer struct {
	settings Settings

	ramping atomic.Bool // written with the mutex held; without a ramp, the path of a request does not lock the mutex

	mu      sync.Mutex
	alone   bool    // no warm peer can take what the target does not
	limit   float64 // zero: not yet set, because the number of slots is not known
	max     int     // limit without the ramp, as last asked for
	warmEnd time.Duration
	fallen  time.Duration // of the last fall
	ramp
}

// ramp holds what the answers since the start have shown.
type ramp struct {
	answers  int
	trend    float64 // mean ratio of the times to the reference, over the latest answers
	before   float64 // trend at beforeAt, see steadySpan
	beforeAt time.Duration
	full     time.Duration // since when all slots may be used; zero: not so
	atFull   int           // answers to requests that were sent since
	best     float64       // least trend
	failures float64       // share of failures among the latest answers
	known    bool          // a reference was known
}

// New returns a pacer of a target that is warm.
func New(s Settings) *Pacer { return &Pacer{settings: s} }

// Start begins a ramp. The warm-up is the time for which the target says that it is slow; one that cannot be counts as not stated.
// Without warm peers the target starts with all of its slots, and slower answers do not lower the limit: the requests that it does not
// take, nobody can take.
func (p *Pacer) Start(now, warmup time.Duration, warmPeers bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.alone, p.limit, p.ramp, p.fallen = !warmPeers, 0, ramp{}, now
	p.warmEnd = now
	if ValidWarmup(warmup) {
		p.warmEnd = now + warmup
	}
	p.ramping.Store(true)
}

// Limit returns the limit on requests in flight, given the one without a ramp.
func (p *Pacer) Limit(unpaced int) int {
	if !p.ramping.Load() {
		return unpaced
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.max = unpaced
	switch {
	case p.limit == 0 && p.alone:
		p.limit = float64(unpaced)
	case p.limit == 0:
		p.limit = p.start()
	}
	return max(1, min(unpaced, int(p.limit)))
}

// start returns the limit at the start of a ramp, which is also the least one.
func (p *Pacer) start() float64 { return max(minStart, p.settings.StartShare*float64(p.max)) }

// Share returns the share of its slots that the target uses; one without a ramp.
func (p *Pacer) Share() float64 {
	if !p.ramping.Load() {
		return 1
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.limit == 0 {
		return 1
	}
	return min(1, p.limit/float64(max(1, p.max)))
}

// Ramping reports whether a ramp is in progress.
func (p *Pacer) Ramping() bool { return p.ramping.Load() }

// Answered adds an answer to a request that was sent to the target at the given time. It returns why the limit has fallen or the ramp
// has ended, or None.
func (p *Pacer) Answered(sent, now time.Duration, a Answer) Cause {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.ramping.Load() || p.limit == 0 {
		return None
	}
	if sent < p.fallen { // says nothing of the limit since
		return None
	}
	p.add(a)
	switch {
	case p.failures > p.settings.FailureShare:
		p.fall(now)
		return Failures
	case !p.alone && p.answers >= trendAnswers && p.trend > p.settings.SlowFactor*p.best && p.limit > p.start():
		p.fall(now)
		p.trend = p.best // what the times are at the lower limit shows in the next answers
		return Slower
	case a.Failed:
		return None
	}
	p.limit = max(1, min(p.limit+1, float64(p.max)))
	switch {
	case int(p.limit) < p.max:
		p.full, p.atFull = 0, 0
	case p.full == 0:
		p.full = now
	case sent >= p.full:
		p.atFull++
	}
	return p.endIfLevel(now)
}

// add updates the averages.
func (p *Pacer) add(a Answer) {
	failed := 0.0
	if a.Failed {
		failed = 1
	}
	p.failures += (failed - p.failures) / failureAnswers
	reference := a.Reference
	if reference <= 0 {
		reference = a.Usual
	}
	if a.Failed || a.Own <= 0 || reference <= 0 {
		return
	}
	p.known = p.known || a.Reference > 0
	ratio := min(maxRatio, float64(a.Own)/float64(reference))
	p.answers++
	p.trend += (ratio - p.trend) / float64(min(p.answers, trendAnswers))
	if p.answers == trendAnswers {
		p.best = p.trend
	}
	p.best = min(p.best, p.trend)
}

// fall lowers the limit, though not below that of the start, so that answers go on to show when the trouble ends.
func (p *Pacer) fall(now time.Duration) {
	p.limit = max(p.start(), fallFactor*p.limit)
	p.fallen, p.failures, p.full, p.atFull = now, 0, 0, 0
}

// endIfLevel ends the ramp if enough requests have run with all slots in use, or free to be used, and the times are level with the
// reference or have stopped to improve.
func (p *Pacer) endIfLevel(now time.Duration) Cause {
	steady := false
	switch {
	case p.answers >= trendAnswers && p.before == 0:
		p.before, p.beforeAt = p.trend, now
	case p.before > 0 && now-p.beforeAt >= steadySpan:
		steady = p.trend >= steadyRatio*p.before
		p.before, p.beforeAt = p.trend, now
	}
	if p.atFull < trendAnswers || now < p.warmEnd || p.failures > steadyFailures {
		return None
	}
	switch {
	case p.known && p.trend <= levelRatio:
		p.ramping.Store(false)
		return Level
	case steady:
		p.ramping.Store(false)
		return Steady
	}
	return None
}
