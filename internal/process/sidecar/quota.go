package sidecar

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/wigeoncleat/wigeoncleat/internal/connection/wire"
	"github.com/wigeoncleat/wigeoncleat/internal/process/event"
	"github.com/wigeoncleat/wigeoncleat/internal/process/freshness"
	"github.com/wigeoncleat/wigeoncleat/internal/process/metrics"
	"github.com/wigeoncleat/wigeoncleat/internal/process/quota"
	"github.com/wigeoncleat/wigeoncleat/internal/version/routing"
)

const (
	// quotaMembersInterval is the time after which the quotas take over the number of nodes even if no change is known.
	quotaMembersInterval = time.Second
	// nodesAssumed is the number of nodes that a process assumes which reaches none and has not read the table of nodes. It must not
	// take the limits of all nodes for its own.
	nodesAssumed = 1000
)

// quotas are the quotas of organisations. It implements mesh.Quota.
type quotas struct {
	node           *quota.Node
	started        time.Time
	clock          func() (time.Duration, bool) // replaced by tests
	active         atomic.Bool                  // the configuration has organisations with quotas
	membersChanged atomic.Bool
	inbound        chan quotaMessage
}

type quotaMessage struct {
	from    string
	payload []byte
}

func newQuotas(self string, bounds quota.Bounds) *quotas {
	if bounds.Window <= 0 {
		bounds = quota.DefaultBounds()
	}
	q := &quotas{started: time.Now(), clock: freshness.Boottime, inbound: make(chan quotaMessage, inboxSize)}
	q.node = quota.New(self, bounds, q.now())
	return q
}

// now returns the time on a clock that also runs while the VM is suspended, or the time since the start where there is none.
func (q *quotas) now() time.Duration {
	if now, ok := q.clock(); ok {
		return now
	}
	return time.Since(q.started)
}

// Admit implements mesh.Quota.
func (q *quotas) Admit(organisation string) (ok bool, retryAfter time.Duration) {
	if !q.active.Load() {
		return true, 0
	}
	return q.node.Admit(organisation, q.now())
}

// GiveBack implements mesh.Quota.
func (q *quotas) GiveBack(organisation string) { q.node.GiveBack(organisation, q.now()) }

// setBounds takes over changed settings.
func (q *quotas) setBounds(bounds quota.Bounds) {
	if bounds.Window > 0 {
		q.node.SetBounds(bounds, q.now())
	}
}

// setLimits takes over the quotas of the configuration in force.
func (q *quotas) setLimits(inForce func() *routing.Table) {
	q.node.SetLimits(func() map[string]quota.Limit {
		limits := map[string]quota.Limit{}
		for _, o := range inForce().Organisations.All() {
			if o.Rate > 0 {
				limits[o.Name] = quota.Limit{Rate: o.Rate, Burst: o.Burst}
			}
		}
		q.active.Store(len(limits) > 0)
		return limits
	}, q.now())
}

// runQuotas exchanges messages about quotas with other nodes.
func (s *Sidecar) runQuotas() {
	ticker := time.NewTicker(quota.TickInterval)
	defer ticker.Stop()
	var membersAt time.Duration
	reported := map[string]bool{}
	for {
		select {
		case <-s.ctx.Done():
			return
		case m := <-s.quotas.inbound:
			s.applyQuotaMessage(m)
			continue
		case <-ticker.C:
		}
		if !s.quotas.active.Load() {
			continue
		}
		now := s.quotas.now()
		if s.quotas.membersChanged.Swap(false) || now-membersAt >= quotaMembersInterval {
			membersAt = now
			s.quotas.node.SetMembers(s.quotaMembers())
			s.logQuotas(now, reported)
		}
		s.sendQuota(s.quotas.node.Tick(now))
	}
}

// quotaMembers returns the other nodes that can be reached and do not stop, and the number of all nodes that may admit requests.
func (s *Sidecar) quotaMembers() (reachable []string, known int) {
	reachable, known = s.directory.Participants()
	if len(reachable) == 0 && !s.registered.Load() {
		known = max(known, nodesAssumed)
	}
	return reachable, known
}

func (s *Sidecar) logQuotas(now time.Duration, reported map[string]bool) {
	for _, c := range s.quotas.node.Changes(now, reported) {
		e := event.QuotaRegained
		if c.Limited {
			e = event.QuotaReached
		}
		s.failures.Log(s.log, e, slog.String("organisation", c.Organisation))
	}
}

// receiveQuota takes a message of another node. A message for which there is no room is dropped like one that is lost on the way.
func (s *Sidecar) receiveQuota(from string, payload []byte) {
	select {
	case s.quotas.inbound <- quotaMessage{from, payload}:
	default:
	}
}

func (s *Sidecar) applyQuotaMessage(m quotaMessage) {
	var msg quota.Message
	if err := cbor.Unmarshal(m.payload, &msg); err != nil {
		s.failures.Log(s.log, event.FrameInvalid, slog.String("peer", m.from), slog.String("error", err.Error()))
		return
	}
	s.sendQuota(s.quotas.node.Receive(m.from, msg, s.quotas.now()))
}

// sendQuota sends messages in the background. One that is lost is made up for by the next report.
func (s *Sidecar) sendQuota(list []quota.Outgoing) {
	for _, o := range list {
		s.background.Go(func() {
			payload, err := cbor.Marshal(o.Message)
			if err != nil {
				panic(err) // cannot happen: the type is fixed
			}
			ctx, cancel := context.WithTimeout(s.ctx, sendTimeout)
			defer cancel()
			if err := s.pool.SendControl(ctx, o.To, wire.ChannelQuota, payload); err != nil {
				s.markUnreachable(o.To, err)
			}
		})
	}
}

// quotaSeries returns the state of the quotas for the metrics.
func (s *Sidecar) quotaSeries() []metrics.Quota {
	if !s.quotas.active.Load() {
		return nil
	}
	var out []metrics.Quota
	for _, st := range s.quotas.node.Status() {
		out = append(out, metrics.Quota{
			Organisation: st.Name, Admitted: int64(st.Admitted), Refused: int64(st.Refused), Rate: st.Limit.Rate, Shares: st.Closed,
		})
	}
	return out
}
