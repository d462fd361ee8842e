package mesh

import (
	"cmp"
	"net/http"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/process/responsetime"
	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
)

const (
	// newRequestShare is the share of the requests of its route that must be able to end before a stopping node exits for the node to
	// forward a new one. Callers on the VM have no other node, so that a refusal may cost them the request too.
	newRequestShare = 0.9
	// allRequests applies to calls, which have no time left for another attempt when they are broken off, and to requests for the
	// attached target, for which another target is tried at once.
	allRequests = 1.0
	// assumedCallTime is assumed for calls on routes without an objective of which none was answered. Refusing a call fails its run, and
	// the calls of both organisations have objectives of 0.3 to 1.2 s.
	assumedCallTime = time.Second
)

// StopAt sets the time at which this node gives up all requests in progress. From now on it refuses requests that are unlikely to be
// answered before.
func (p *Proxy) StopAt(t time.Time) { p.stopAt.Store(&t) }

// refuseUnforwardable refuses to forward a request that is unlikely to be answered before this node stops, and returns nil for any other
// one. If no request of its route was answered before, a request is assumed to take the time that the route aims at, or all of its time
// if it is new and must not run twice.
func (p *Proxy) refuseUnforwardable(f *forwardedRequest) *message.Response {
	c := responsetime.Conditions{Share: newRequestShare}
	switch {
	case f.parent != nil:
		c.Share, c.Assumed = allRequests, cmp.Or(f.route.Objective, assumedCallTime)
	case f.route.Idempotent:
		c.Assumed = f.route.Objective
	}
	return p.refuseUnfinishable(&p.requestTimes, f.req, f.route.Name, c)
}

// refuseUndeliverable refuses to run a request at the attached target that is unlikely to end before this node stops, and returns nil for
// any other one.
func (p *Proxy) refuseUndeliverable(req *message.Request, kind string) *message.Response {
	return p.refuseUnfinishable(&p.runTimes, req, kind, responsetime.Conditions{Share: allRequests})
}

func (p *Proxy) refuseUnfinishable(times *responsetime.Tracker, req *message.Request, kind string, c responsetime.Conditions) *message.Response {
	end := p.stopAt.Load()
	if end == nil {
		return nil
	}
	c.Limit = time.Until(req.Deadline)
	left, needs := time.Until(*end), times.Estimate(kind, c)
	if needs < left {
		return nil
	}
	return p.refuse(message.ReasonLeaving, message.StepAccept, randomRetryAfter(),
		"the node stops in %d ms, and the request can take %d ms", left.Milliseconds(), needs.Milliseconds())
}

// observeDuration records how long a request took that was answered or that has reached its time limit.
func observeDuration(t *responsetime.Request, r *message.Response) {
	if r.Outcome == message.Answered && r.Status < http.StatusInternalServerError || r.Outcome == message.Unknown && r.Reason == message.ReasonDeadline {
		t.Answered()
	} else {
		t.Dropped()
	}
}
