package mesh

import (
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/process/event"
	"github.com/wigeoncleat/wigeoncleat/internal/process/quarantine"
	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
)

const (
	// cutOffMargin is the time before the last answer of a target in which a request that got none still counts as cut off by the
	// end of the target process: its connections do not all break at the same moment.
	cutOffMargin = 100 * time.Millisecond
	// maxHeldLines bounds the log lines about suspects for one end of a target.
	maxHeldLines = 10
	// maxCutOff bounds the requests without an answer that are remembered. Most targets have fewer slots.
	maxCutOff = 512
)

// refuseHeld refuses a request that is held, and returns nil for any other one. Of requests that may run as a trial, nodes send all
// to the same target, where the node lets only one run at a time.
func (p *Proxy) refuseHeld(f *forwardedRequest) *message.Response {
	if p.cfg.Quarantine.Empty() {
		return nil
	}
	fp := quarantine.FingerprintOf(f.req)
	switch d := p.cfg.Quarantine.Decide(fp, p.targetsOf(f.service), time.Now()); d.Verdict {
	case quarantine.Held:
		return p.quarantined(message.StepPick, fp, d)
	case quarantine.Trial:
		f.trialKey = d.TrialKey
	case quarantine.Free:
	}
	return nil
}

// targetsOf returns the number of targets of a service.
func (p *Proxy) targetsOf(service string) int {
	if picker := p.cfg.Pickers.Picker(service); picker != nil {
		return picker.Size()
	}
	return 0
}

// refuseHeldAtTarget is like refuseHeld for a request that is about to be sent to the attached target. The node that forwarded it
// may not have known of the suspicion.
func (p *Proxy) refuseHeldAtTarget(req *message.Request) *message.Response {
	if p.cfg.Quarantine.Empty() {
		return nil
	}
	fp := quarantine.FingerprintOf(req)
	now := time.Now()
	switch d := p.cfg.Quarantine.Decide(fp, p.targetsOf(req.Service), now); d.Verdict {
	case quarantine.Held:
		return p.quarantined(message.StepAdmit, fp, d)
	case quarantine.Trial:
		begun, ok := p.cfg.Quarantine.BeginTrial(fp, now)
		if !ok {
			return p.quarantined(message.StepAdmit, fp, d)
		}
		p.cfg.Suspected([]quarantine.Record{begun})
		event.Log(p.cfg.Log, event.SuspectTried, slog.String("id", req.Attempt), slog.String("fingerprint", fp.String()))
	case quarantine.Free:
	}
	return nil
}

// quarantined returns the refusal of a request that is held. If it has crashed a target in a trial, it states no time to retry after:
// the request should not be sent again.
func (p *Proxy) quarantined(step message.Step, fp quarantine.Fingerprint, d quarantine.Decision) *message.Response {
	return p.refuse(message.ReasonQuarantined, step, d.RetryAfter, "targets ended while they ran request %s", fp)
}

// mayRetrySuspect reports whether a request that may have run without an answer may be sent to another target.
func (p *Proxy) mayRetrySuspect(req *message.Request) bool {
	return p.cfg.Quarantine.Empty() || p.cfg.Quarantine.MayRetry(quarantine.FingerprintOf(req))
}

// observeSuspect records the result of a request that was sent to the attached target: an answer that is no failure ends a suspicion,
// and a request without an answer may have been in progress when the target ended.
func (p *Proxy) observeSuspect(g *attachedTarget, req *message.Request, r *message.Response) {
	switch {
	case r.Outcome == message.Unknown && r.Reason != message.ReasonCancelled:
		g.cutOff.add(quarantine.FingerprintOf(req), time.Now())
	case r.Outcome == message.Answered:
		g.cutOff.answered(time.Now())
		if r.Status >= http.StatusInternalServerError {
			if !p.cfg.Quarantine.Empty() {
				p.cfg.Quarantine.TrialFailed(quarantine.FingerprintOf(req))
			}
			return // it may have failed before the point at which it would crash the target, for example because of a call
		}
		fp := quarantine.FingerprintOf(req)
		cleared, ends := p.cfg.Quarantine.Answered(fp, time.Now())
		if ends == 0 {
			return
		}
		if ends >= quarantine.MaxEnds {
			event.Log(p.cfg.Log, event.SuspectCleared, slog.String("id", req.Attempt), slog.String("fingerprint", fp.String()))
		}
		p.cfg.Suspected([]quarantine.Record{cleared})
	}
}

// TargetEnded records that the process of a target on this VM has ended, other than by its own announcement. The requests that
// were in progress there become suspects.
func (p *Proxy) TargetEnded(instance string, born int64) {
	g := p.latestTarget.Load()
	if g == nil || g.instance != instance || g.born != born || g.ended.Swap(true) {
		return // this node has sent it nothing, or its end is recorded
	}
	now := time.Now()
	var inProgress []quarantine.Fingerprint
	for _, req := range p.activeRuns.requestsAt(instance, born) {
		inProgress = append(inProgress, quarantine.FingerprintOf(&req))
	}
	inProgress = append(inProgress, g.cutOff.take()...)
	news := p.cfg.Quarantine.Ended(quarantine.EndOf(instance, born), inProgress, now)
	event.Log(p.cfg.Log, event.TargetEnded, slog.String("instance", instance), slog.Int64("born", born),
		slog.Int("in_progress", len(inProgress)), slog.Int("suspects", len(news)))
	p.logHeld(news)
	if len(news) > 0 {
		p.cfg.Suspected(news)
	}
}

// logHeld logs which of the suspects are held.
func (p *Proxy) logHeld(news []quarantine.Record) {
	logged := 0
	for _, r := range news {
		if r.Held() && logged < maxHeldLines {
			logged++
			event.Log(p.cfg.Log, event.SuspectHeld, slog.String("fingerprint", r.Fingerprint.String()), slog.Int("ends", len(r.Ends)))
		}
	}
}

// cutOffRequests are the requests that a target has not answered since it last answered one: the node may learn much later that the
// target process had ended. It is safe for concurrent use.
type cutOffRequests struct {
	mu         sync.Mutex
	list       []cutOffRequest // in the order of their times
	lastAnswer time.Time
}

type cutOffRequest struct {
	fingerprint quarantine.Fingerprint
	at          time.Time
}

// answered records that the target process lives.
func (c *cutOffRequests) answered(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastAnswer = now
}

func (c *cutOffRequests) add(fp quarantine.Fingerprint, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropLocked()
	if len(c.list) >= maxCutOff {
		c.list = c.list[1:]
	}
	c.list = append(c.list, cutOffRequest{fp, now})
}

// take returns the requests and forgets them.
func (c *cutOffRequests) take() []quarantine.Fingerprint {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropLocked()
	var out []quarantine.Fingerprint
	for _, r := range c.list {
		out = append(out, r.fingerprint)
	}
	c.list = nil
	return out
}

// dropLocked removes the requests after which the target has still answered others. The caller holds the mutex.
func (c *cutOffRequests) dropLocked() {
	for len(c.list) > 0 && c.lastAnswer.Sub(c.list[0].at) > cutOffMargin {
		c.list = c.list[1:]
	}
}
