package mesh

import (
	"strings"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
	"github.com/wigeoncleat/wigeoncleat/internal/version/organisation"
	"github.com/wigeoncleat/wigeoncleat/internal/version/routing"
)

// Revocation tells whether withdrawn keys of organisations are known to be withdrawn at this node. The zero value accepts keys by
// the configuration in force, whatever its age.
type Revocation struct {
	// Confirmed reports whether the configuration with the given stamp is known to have been the newest one a short time ago; nil: keys
	// are accepted without that.
	Confirmed func(routing.Stamp) bool
}

// Quota decides whether an organisation may send another request, see package quota.
type Quota interface {
	// Admit counts a request that is admitted. If it is not, retryAfter is the time after which the caller may try again.
	Admit(organisation string) (ok bool, retryAfter time.Duration)
	// GiveBack takes back the admission of a request that has not reached a target.
	GiveBack(organisation string)
}

// admitQuota refuses a new request of an organisation that has used up its quota, and returns nil for all others. Calls do not count.
func (p *Proxy) admitQuota(f *forwardedRequest) *message.Response {
	if p.cfg.Quota == nil || f.organisation == nil {
		return nil
	}
	ok, after := p.cfg.Quota.Admit(f.organisation.Name)
	if !ok {
		return p.refuse(message.ReasonQuota, message.StepShed, after, "organisation %q has used up its quota", f.organisation.Name)
	}
	f.quotaTaken = true
	return nil
}

// returnQuota gives back what admitQuota has taken for a request that has not reached a target.
func (p *Proxy) returnQuota(f *forwardedRequest, r *message.Response) {
	if f.quotaTaken && r.Outcome == message.NotRun && f.arrivals == 0 {
		p.cfg.Quota.GiveBack(f.organisation.Name)
	}
}

// checksKeys reports whether the requests under a configuration need keys. A list of organisations that is empty counts as none,
// other than one whose organisations cannot be used, unless withdrawn keys must not be accepted in any case: the list may be empty because the last key was withdrawn.
func (p *Proxy) checksKeys(table *routing.Table) bool {
	return table.Organisations.Named() || table.Organisations != nil && p.cfg.Revocation.Confirmed != nil
}

// identify finds the organisation of a request, removes the key and what the caller says of its organisation, and finds the run that
// made the request. It returns the refusal of a request that must not run. A request with a key is never taken for a call: targets
// make calls without keys, so that a withdrawn key cannot be used with the attempt ID of a run.
func (p *Proxy) identify(table *routing.Table, f *forwardedRequest, key string) *message.Response {
	req := f.req
	req.Organisation = ""
	if !p.checksKeys(table) {
		f.parent = p.activeRuns.parent(req.Attempt)
		return nil
	}
	p.cfg.RemoveIdentity(req)
	if key == "" {
		return p.identifyCall(f)
	}
	confirmed := p.cfg.Revocation.Confirmed == nil || p.cfg.Revocation.Confirmed(table.Stamp)
	if !confirmed && !f.route.Public {
		return p.refuse(message.ReasonKeyUnchecked, message.StepConfigure, randomRetryAfter(), "version %d is not known to be the newest one", table.Version)
	}
	if confirmed {
		f.organisation, _ = table.Organisations.ByKey(key)
	}
	if f.organisation != nil {
		req.Organisation = f.organisation.Name
	} else if !f.route.Public {
		return p.refuse(message.ReasonKeyUnknown, message.StepConfigure, 0, "the key belongs to no organisation of version %d", table.Version)
	}
	return nil
}

// identifyCall is identify for a request without a key.
func (p *Proxy) identifyCall(f *forwardedRequest) *message.Response {
	f.parent = p.activeRuns.parent(f.req.Attempt)
	switch {
	case f.parent != nil:
		f.req.Organisation = f.parent.req.Organisation
	case f.route.Public:
	case strings.Contains(f.req.Attempt, "."):
		return p.refuse(message.ReasonRunUnknown, message.StepConfigure, 0, "no run of this node makes the call")
	default:
		return p.refuse(message.ReasonKeyMissing, message.StepConfigure, 0, "route %q needs the key of an organisation", f.route.Name)
	}
	return nil
}

// rankOf returns the rank of a new request. The priority of the organisation goes before that of the route. A request of no
// organisation, which only a public route admits, ranks with those of the organisations of the lowest priority.
func (p *Proxy) rankOf(table *routing.Table, f *forwardedRequest) uint8 {
	if !p.checksKeys(table) {
		return routeRank(f.route)
	}
	priority := table.Organisations.LowestPriority()
	if f.organisation != nil {
		priority = f.organisation.Priority
	}
	priority = min(max(priority, 0), organisation.MaxPriority)
	return uint8(max(1, topRank-rankStep*priority-min(max(f.route.Priority, 0), rankStep-1)))
}

// routeRank returns the rank of a new request by its route alone.
func routeRank(r *routing.Route) uint8 { return uint8(max(1, topRank-rankStep*r.Priority)) }

// removeIdentity removes credentials and names of organisations from a request of another node that does not know yet that they
// are not forwarded.
func (p *Proxy) removeIdentity(req *message.Request) {
	if table := p.cfg.Routes.Load(); table != nil && p.checksKeys(table) {
		p.cfg.RemoveIdentity(req)
	}
}
