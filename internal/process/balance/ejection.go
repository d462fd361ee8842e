package balance

import (
	"log/slog"
	"slices"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/process/event"
)

const (
	// outlierFactor is the multiple of the median latency of the other targets above which a target is ejected. A target
	// that runs at a quarter of its speed stays: it still completes work, and its requests in flight already divert others.
	outlierFactor = 5
	// outlierFloor is added to that limit, so that small differences between fast targets eject none.
	outlierFloor = 10 * time.Millisecond
	// outlierSamples is the number of responses before a target's latency is compared, outlierEvery the number between checks.
	outlierSamples = 20
	outlierEvery   = 16
	// maxEjectTime bounds the doubling of ejection times, so that a repaired target returns within a minute, or within the
	// configured ejection time if that is longer.
	maxEjectTime = time.Minute
	// ejectResetFactor says when the doubling of ejection times starts anew: once the last ejection of the target ended more
	// than this multiple of the configured ejection time ago.
	ejectResetFactor = 10
)

// outlier reports whether the target is far slower than the median of the other targets. The latencies that this node has seen must
// show it, and the estimates for the kind of request must confirm it, where there are any: of few requests of several kinds, one
// target can get the longer ones by chance.
func (p *Picker) outlier(m *candidate, kind int, now int64) bool {
	var figures []float64
	for _, o := range p.snapshot.Load().all {
		if m.comparesWith(o, now) {
			figures = append(figures, o.meanLatency())
		}
	}
	if len(figures) == 0 || m.meanLatency() <= outlierFactor*median(figures)+outlierFloor.Seconds() {
		return false
	}
	figures = figures[:0]
	for _, o := range p.snapshot.Load().all {
		if own, rest := o.estimate(kind, now); own > 0 && m.comparesWith(o, now) {
			figures = append(figures, own+rest)
		}
	}
	own, rest := m.estimate(kind, now)
	return own == 0 || len(figures) == 0 || own+rest > outlierFactor*median(figures)+float64(outlierFloor)
}

// comparesWith reports whether another target counts in the median: it is not ejected, and this node has seen enough of it.
func (m *candidate) comparesWith(o *candidate, now int64) bool {
	return o.state != m.state && o.samples.Load() >= outlierSamples && o.ejectedUntil.Load() <= now
}

func median(list []float64) float64 {
	slices.Sort(list)
	return list[len(list)/2]
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
	m.rampAnswers.Store(0)
	m.returning.Store(true)
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
