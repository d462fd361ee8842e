package mesh

import (
	"log/slog"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/process/event"
	"github.com/wigeoncleat/wigeoncleat/internal/process/pace"
	"github.com/wigeoncleat/wigeoncleat/internal/process/pause"
	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
)

// Pace configures how the attached target is paced after a start. The functions must not be nil unless the settings are zero.
type Pace struct {
	pace.Settings
	// Warmup returns how much longer the target says that it is slow; zero: not stated.
	Warmup func() time.Duration
	// WarmPeers reports whether another target of the service has run for long enough to be warm.
	WarmPeers func() bool
}

// startPace begins a ramp of a target that was attached, unless its process has run for long enough to be warm. The start time is of
// the target's clock, which can jump; a start in the future counts as one just now.
func (p *Proxy) startPace(g *attachedTarget, returned bool) {
	if p.cfg.Pace.Settings == (pace.Settings{}) {
		return
	}
	g.control.SetPace(g.pace)
	age := time.Since(time.UnixMilli(g.born))
	if !returned && age > pace.WarmAge {
		return
	}
	warmup, peers := p.cfg.Pace.Warmup(), p.cfg.Pace.WarmPeers()
	g.pace.Start(0, warmup, peers)
	g.control.SetPace(g.pace)
	event.Log(p.cfg.Log, event.TargetPaced, slog.String("instance", g.instance), slog.Float64("share", g.pace.Share()),
		slog.Duration("warmup", warmup), slog.Bool("warm_peers", peers), slog.Bool("returned", returned))
}

// load returns the load of the target with its pace, if it has one.
func (g *attachedTarget) load() message.Load {
	l := g.control.Load()
	l.Pace = g.pace.Share()
	return l
}

// observePace adds an answer to the pace of the target while a ramp is in progress. Answers whose run was cancelled or paused, or
// whose calls failed, say nothing of the target.
func (p *Proxy) observePace(g *attachedTarget, kind string, start time.Time, own time.Duration, r *message.Response) {
	if !g.pace.Ramping() {
		return
	}
	seen := targetResult(r)
	if seen.Cancelled || r.DownstreamFailed || pause.Since(start) {
		return
	}
	now := time.Since(g.attachedAt)
	a := pace.Answer{Failed: seen.Failed, Own: own, Usual: g.times.Usual(kind)}
	if picker := p.cfg.Pickers.Picker(g.service); picker != nil {
		a.Reference = picker.UsualTime(kind, p.cfg.Address)
	}
	if a.Reference == 0 && g.past != nil {
		a.Reference = g.past.Usual(kind)
	}
	cause := g.pace.Answered(start.Sub(g.attachedAt), now, a)
	if cause == pace.None {
		return
	}
	attrs := []slog.Attr{
		slog.String("instance", g.instance), slog.String("cause", string(cause)), slog.Float64("share", g.pace.Share()),
		slog.Duration("since_start", now),
	}
	if g.pace.Ramping() {
		p.cfg.Limiter.Log(p.cfg.Log, event.TargetPaceFell, attrs...)
	} else {
		event.Log(p.cfg.Log, event.TargetPaceEnded, attrs...)
	}
}
