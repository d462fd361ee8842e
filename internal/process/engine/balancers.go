package engine

import (
	"maps"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/process/balance"
	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
	"github.com/wigeoncleat/wigeoncleat/internal/version/policy"
)

// Balancers keeps a balance.Picker for every service. Readers load a map that is replaced as a whole.
type Balancers struct {
	zone string

	mu       sync.Mutex // held while the map is replaced
	settings policy.Balance
	pickers  atomic.Pointer[map[string]*balance.Picker]
}

// NewBalancers returns balancers without targets for a node in the availability zone.
func NewBalancers(zone string, settings policy.Balance) *Balancers {
	b := &Balancers{zone: zone, settings: settings}
	b.pickers.Store(&map[string]*balance.Picker{})
	return b
}

// SetPolicy replaces the settings of all pickers.
func (b *Balancers) SetPolicy(settings policy.Balance) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.settings = settings
	for _, p := range *b.pickers.Load() {
		p.SetPolicy(settings, balance.DefaultRampTime)
	}
}

// Update replaces the targets of all services. Services that are missing have no targets any more.
func (b *Balancers) Update(targets map[string][]balance.Target) {
	b.mu.Lock()
	defer b.mu.Unlock()
	pickers := maps.Clone(*b.pickers.Load())
	for service, list := range targets {
		p, ok := pickers[service]
		if !ok {
			p = balance.New(b.zone, b.settings, balance.DefaultRampTime)
			pickers[service] = p
		}
		p.Update(list)
	}
	for service, p := range pickers {
		if _, ok := targets[service]; !ok {
			p.Update(nil)
		}
	}
	b.pickers.Store(&pickers)
}

// Picker implements Pickers.
func (b *Balancers) Picker(service string) (Picker, bool) {
	p, ok := (*b.pickers.Load())[service]
	return balanced{p}, ok
}

// balanced adapts a balance.Picker to Picker.
type balanced struct{ p *balance.Picker }

func (b balanced) Pick(exclude []string) (string, func(time.Duration, *message.Response), bool) {
	t, done, ok := b.p.Pick(exclude...)
	if !ok {
		return "", nil, false
	}
	return t.Address, func(_ time.Duration, r *message.Response) { done(balanceResult(r)) }, true
}

// balanceResult says what a response tells about its target.
func balanceResult(r *message.Response) balance.Result {
	return balance.Result{
		Failed: r.Reason == message.ReasonConnection || r.Reason == message.ReasonTargetUnable ||
			r.Outcome == message.Unknown && r.Reason == message.ReasonDeadline ||
			r.Outcome == message.Answered && r.Status == http.StatusInternalServerError,
		Refused: r.Outcome == message.NotRun && r.Reason == message.ReasonOverload,
		Leaving: r.Outcome == message.NotRun &&
			(r.Reason == message.ReasonLeaving || r.Reason == message.ReasonUnconfirmed),
		Cancelled: r.Reason == message.ReasonCancelled,
		Load:      r.Load,
	}
}
