package engine

import (
	"net/http"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/process/balance"
	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
	"github.com/wigeoncleat/wigeoncleat/internal/version/policy"
)

// Balancers adapts a balance.Set to Pickers.
type Balancers struct{ *balance.Set }

// NewBalancers returns balancers without targets for a node in the availability zone.
func NewBalancers(zone string, settings policy.Balance) *Balancers {
	return &Balancers{balance.NewSet(zone, settings)}
}

// Picker implements Pickers.
func (b *Balancers) Picker(service string) (Picker, bool) {
	p := b.Set.Picker(service)
	return pickerAdapter{p}, p != nil
}

// pickerAdapter adapts a balance.Picker to Picker.
type pickerAdapter struct{ p *balance.Picker }

func (a pickerAdapter) Pick(exclude []string) (string, func(time.Duration, *message.Response), bool) {
	t, done, ok := a.p.Pick(balance.Request{}, exclude...)
	if !ok {
		return "", nil, false
	}
	return t.Address, func(_ time.Duration, r *message.Response) { done(balanceResult(r)) }, true
}

// balanceResult derives from a response what the balancer needs to know about its target.
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
