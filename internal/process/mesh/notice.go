package mesh

import (
	"log/slog"
	"math"
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
		p.logRate(g)
	}
	if n.RateLimited && math.IsNaN(n.RateLimit) {
		p.cfg.Limiter.Log(p.cfg.Log, event.TargetRateUnreadable, slog.String("instance", g.instance))
	}
}

// logRate logs the limit on requests per second that has come into force.
func (p *Proxy) logRate(g *attachedTarget) {
	rate, load := g.rate.Rate(), g.control.Load()
	e := event.TargetRateLimited
	if rate == 0 {
		e = event.TargetRateLimitEnded
	}
	p.cfg.Limiter.Log(p.cfg.Log, e, slog.String("instance", g.instance), slog.Float64("per_second", rate),
		slog.Int("in_flight", load.InFlight), slog.Int("limit", load.Limit))
}
