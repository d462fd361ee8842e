package mesh

import (
	"log/slog"
	"maps"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/process/event"
	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
)

// observeNotice records what the attached target says of itself in the response to a request that was sent to it at the given
// time.
func (p *Proxy) observeNotice(g *attachedTarget, sent time.Time, n *message.Notice) {
	if n == nil {
		return
	}
	if g.rate.Observe(sent, time.Now(), *n) {
		p.applyRate(g, "response")
	}
	if n.Leaving && !g.leaving.Swap(true) {
		p.cfg.AttachedTargetLeaving(g.instance, g.born)
	}
	if n.RateLimited && math.IsNaN(n.RateLimit) {
		p.cfg.Limiter.Log(p.cfg.Log, event.TargetRateUnreadable, slog.String("instance", g.instance))
	}
}

// restoreRate puts the limit on requests per second in force that another node has learned of the attached target.
func (p *Proxy) restoreRate(g *attachedTarget, perSecond float64) {
	if perSecond > 0 && g.rate.Restore(perSecond, time.Now()) {
		p.applyRate(g, "peer")
	}
}

// applyRate makes admission use the limit on requests per second that has come into force, and logs it with its source: a response of
// the target, or a peer that remembers one.
func (p *Proxy) applyRate(g *attachedTarget, source string) {
	g.control.RateChanged()
	rate, load := g.rate.Rate(), g.control.Load()
	e := event.TargetRateLimited
	if rate == 0 {
		e = event.TargetRateLimitEnded
	}
	p.cfg.Limiter.Log(p.cfg.Log, e, slog.String("instance", g.instance), slog.Float64("per_second", rate),
		slog.String("source", source), slog.Int("in_flight", load.InFlight), slog.Int("limit", load.Limit))
}

// notice returns what this node knows of the attached target, for the node that sent a request to it, or nil if that is nothing
// of note.
func (g *attachedTarget) notice() *message.Notice {
	rate, leaving := g.rate.Rate(), g.leaving.Load()
	if rate == 0 && !leaving {
		return nil
	}
	return &message.Notice{Leaving: leaving, Born: g.born, RateLimited: rate > 0, RateLimit: rate}
}

// learnNotice records what the node beside a target to which this node has sent a request knows of the target.
func (p *Proxy) learnNotice(instance string, r *message.Response) {
	if n := r.Notice; n != nil && n.Leaving {
		p.cfg.TargetLeaving(instance, n.Born)
	}
	p.learnRate(instance, r)
}

// learnRate records the limit on requests per second of a target to which this node has sent a request. A response of the target
// that comes without a limit ends it; a refusal by its node does not, because that node may have been restarted and not know.
func (p *Proxy) learnRate(instance string, r *message.Response) {
	switch n := r.Notice; {
	case n != nil && n.RateLimited:
		p.knownRates.set(instance, n.RateLimit)
	case r.Outcome == message.Answered:
		p.knownRates.set(instance, 0)
	}
}

// maxKnownRates bounds the targets whose limits a node keeps. A target that ends while it is limited leaves its entry behind.
const maxKnownRates = 1024

// knownRates are the limits on requests per second that this node has learned of targets, by instance ID. It sends them along with
// its requests. It is safe for concurrent use; readers load a map that is replaced as a whole.
type knownRates struct {
	mu    sync.Mutex
	rates atomic.Pointer[map[string]float64]
}

// get returns the limit of a target, or zero if none is known.
func (k *knownRates) get(instance string) float64 {
	if rates := k.rates.Load(); rates != nil {
		return (*rates)[instance]
	}
	return 0
}

// set records the limit of a target; zero: none.
func (k *knownRates) set(instance string, perSecond float64) {
	if k.get(instance) == perSecond {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	next := map[string]float64{}
	if rates := k.rates.Load(); rates != nil {
		next = maps.Clone(*rates)
	}
	if perSecond > 0 {
		next[instance] = perSecond
	} else {
		delete(next, instance)
	}
	for other := range next {
		if len(next) <= maxKnownRates {
			break
		}
		if other != instance {
			delete(next, other)
		}
	}
	k.rates.Store(&next)
}
