package sidecar

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/connection/targetconn"
	"github.com/wigeoncleat/wigeoncleat/internal/process/admission"
	"github.com/wigeoncleat/wigeoncleat/internal/process/directory"
	"github.com/wigeoncleat/wigeoncleat/internal/process/event"
	"github.com/wigeoncleat/wigeoncleat/internal/process/report"
	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
)

// maxResponseBody bounds the body of a target's response, in bytes.
const maxResponseBody = 16 << 20

// target sends requests to the attached target. It implements mesh.Target.
type target struct {
	pool          exchanger
	codec         Codec
	onUnreachable func(error) // called when connections to the target fail repeatedly
	onBrokenOff   func()      // called when the target has broken off a request, before the request is answered

	dialFailures atomic.Int32 // consecutive failures to connect
}

// maxDialFailures is the number of consecutive connection failures after which a target is regarded as unreachable. A
// single connection can be lost while the target's accept queue is full.
const maxDialFailures = 2

// exchanger is the part of targetconn.Pool that a target needs.
type exchanger interface {
	Do(ctx context.Context, x *targetconn.Exchange) (*targetconn.Response, error)
}

// Do implements mesh.Target.
func (t *target) Do(ctx context.Context, req *message.Request) *message.Response {
	text, rest := t.codec.EncodeRequest(req, time.Now())
	a, err := t.pool.Do(ctx, &targetconn.Exchange{
		ID:      req.Attempt,
		Method:  req.Method,
		Bytes:   text,
		Body:    rest,
		Fresh:   !req.Idempotent, // it cannot be retried if the target closed an idle connection unnoticed
		Matches: func(h http.Header) bool { return t.codec.Matches(req, h) },
		MaxBody: maxResponseBody,
		Memory:  req.Memory,
	})
	if err == nil {
		t.dialFailures.Store(0)
		return t.codec.DecodeResponse(req, a)
	}
	reason := message.ReasonConnection
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		reason = message.ReasonDeadline
	case ctx.Err() != nil:
		reason = message.ReasonCancelled
	}
	var failed *targetconn.Error
	if errors.As(err, &failed) && !failed.Sent {
		if ctx.Err() == nil && t.dialFailures.Add(1) >= maxDialFailures {
			t.onUnreachable(err)
		}
		return message.Refuse(reason, message.Errorf(message.StepRun, req.Instance, "%v", err))
	}
	if ctx.Err() == nil {
		t.onBrokenOff()
	}
	return message.UnknownOutcome(reason, message.Errorf(message.StepRun, req.Instance, "%v", err))
}

const (
	// concurrencyShare is the share of a target's slots that requests may use. Targets of both organisations that run the
	// system slow down from 95 % of their slots on.
	concurrencyShare = 0.94
	// newRequestShare is the share of the concurrency limit for new requests while sub-requests (calls of other targets on
	// behalf of requests in progress) wait too. At the services that call chains of both organisations reach last, the
	// requests that start there take an eighth of the slots at the usual load; the share is a little lower.
	newRequestShare = 0.1
	// queueRatio is the maximum length of the queue in front of a target as a multiple of its slots.
	queueRatio = 1.0
	// defaultQueueWait bounds the queueing of requests that state no bound of their own.
	defaultQueueWait = 200 * time.Millisecond
)

// limitsOf returns the admission limits of a target.
func (s *Sidecar) limitsOf(st report.State) admission.Limits {
	connections := st.Slots
	if t := s.routes.Load(); t != nil {
		if svc, ok := t.Service(st.Service); ok && svc.Connections > 0 {
			connections = min(connections, svc.Connections)
		}
	}
	return TargetLimits(st.Slots, connections)
}

// TargetLimits returns the admission limits of a target with the given slots and connections. The service times of the
// requests to one target differ widely, so admission does not predict from them whether a request can meet its deadline.
func TargetLimits(slots, connections int) admission.Limits {
	return admission.Limits{
		Slots:             max(1, int(concurrencyShare*float64(slots))),
		Connections:       connections,
		QueueLength:       max(1, int(queueRatio*float64(slots))),
		QueueMaxWait:      defaultQueueWait,
		SubrequestsFirst:  true,
		NewRequestShare:   newRequestShare,
		MixedServiceTimes: true,
	}
}

// Report handles a report of the target.
func (s *Sidecar) Report(r report.Report) error {
	if r.Service != s.settings.Service || r.Address != s.settings.TargetAddress {
		err := fmt.Errorf("report of %s: service %q at %s is not the target of this node", r.Instance, r.Service, r.Address)
		event.Log(s.log, event.ReportRejected, slog.String("error", err.Error()))
		return err
	}
	before := s.tracker.State(time.Now())
	verdict := s.tracker.Observe(r, time.Now())
	if verdict != report.Ignored {
		s.targetUnreachable.Store(false) // a report shows that it runs
	}
	switch verdict {
	case report.Replaced:
		s.targetEnded(before)
		event.Log(s.log, event.TargetReplaced, slog.String("instance", r.Instance), slog.Int64("born", r.Born),
			slog.Int64("sequence", r.Sequence), slog.String("phase", r.Phase.String()), slog.Int("slots", r.Slots))
	case report.Changed:
		event.Log(s.log, event.TargetChanged, slog.String("instance", r.Instance), slog.Int64("sequence", r.Sequence),
			slog.String("phase", r.Phase.String()), slog.Int("slots", r.Slots))
	case report.Ignored, report.Renewed:
	}
	s.applyTarget()
	if r.Phase != report.PhaseDraining {
		return nil
	}
	return s.confirmLeavings()
}

// Leave handles the notice of a target that it leaves. The start time of the instance is zero if it is not stated.
func (s *Sidecar) Leave(instance string, born int64) error {
	if s.tracker.Leave(instance, born, time.Now()) {
		event.Log(s.log, event.TargetChanged, slog.String("instance", instance), slog.Int64("born", born),
			slog.String("phase", report.PhaseGone.String()))
	}
	s.applyTarget()
	return s.confirmLeavings()
}

// drainAttachedTarget refuses further requests to the attached target, which has said in a response that it leaves, and tells the
// other nodes.
func (s *Sidecar) drainAttachedTarget(instance string, born int64) {
	if s.tracker.Drain(instance, born) {
		event.Log(s.log, event.TargetChanged, slog.String("instance", instance), slog.String("phase", report.PhaseDraining.String()),
			slog.String("source", "response"))
	}
	s.applyTarget()
}

// applyTarget attaches or detaches the target according to its state and announces that state. Requests are refused here
// before any node is told, so that none reaches a target whose leave was acknowledged, although other nodes learn of the
// leave later.
func (s *Sidecar) applyTarget() {
	s.targetMu.Lock()
	defer s.targetMu.Unlock()
	st := s.tracker.State(time.Now())
	open := st.Phase == report.PhaseReady && s.ownStateRecovered.Load() && !s.handedOver.Load() && !s.targetUnreachable.Load()
	id := ""
	if open {
		id = fmt.Sprintf("%s/%d", st.Instance, st.Born)
	}
	switch {
	case id == s.attachedInstance:
	case open:
		s.path.AttachTarget(st.Service, st.Instance, st.Born, admission.New(s.limitsOf(st)),
			&target{
				pool: s.connectTarget(st.Address), codec: s.opts.Codec,
				onUnreachable: s.markTargetUnreachable, onBrokenOff: s.checkTargetEnded,
			})
	default:
		s.path.DetachTarget()
	}
	s.attachedInstance = id
	s.publishTarget(st, open)
}

// markTargetUnreachable detaches a target that accepts no connections until it does again. If it refuses them, its process has ended.
func (s *Sidecar) markTargetUnreachable(cause error) {
	if s.targetUnreachable.Swap(true) {
		return
	}
	if errors.Is(cause, syscall.ECONNREFUSED) {
		s.targetEnded(s.tracker.State(time.Now()))
	}
	event.Log(s.log, event.TargetRefusesConnections, slog.String("target", s.settings.TargetAddress))
	go s.applyTarget() // in a new goroutine: the caller is a request to the target that is being detached
}

// probeTimeout bounds the dial of the target, which runs on the same VM.
const probeTimeout = 200 * time.Millisecond

// refusesConnections reports whether connections to the address are refused, so that no process listens there any more.
func refusesConnections(address string) bool {
	conn, err := net.DialTimeout("tcp", address, probeTimeout)
	if err == nil {
		_ = conn.Close() // nothing was written
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// probeTarget opens a connection to a target that is unreachable or whose report is overdue. That detects a target that
// crashed without notice early, while reports may be late by seconds.
func (s *Sidecar) probeTarget() {
	if !s.targetUnreachable.Load() && !s.tracker.Overdue(time.Now()) {
		return
	}
	conn, err := net.DialTimeout("tcp", s.settings.TargetAddress, probeTimeout)
	if err != nil {
		s.markTargetUnreachable(err)
		return
	}
	_ = conn.Close() // nothing was written
	s.targetUnreachable.Store(false)
}

// publishTarget writes the target's state to the node's own entry and broadcasts the entry if it changed.
func (s *Sidecar) publishTarget(st report.State, open bool) {
	phase := st.Phase
	if phase == report.PhaseReady && !open {
		phase = report.PhaseUnknown
	}
	own := s.directory.Self()
	if own.Instance == st.Instance && own.Born == st.Born && own.Phase == phase && own.Slots == st.Slots &&
		own.NodeLeaving == s.handedOver.Load() && slices.Equal(own.Leavings, s.tracker.Leavings()) {
		return
	}
	m := s.directory.Update(func(m *directory.Member) {
		m.Instance, m.Born, m.Sequence, m.Slots, m.Phase = st.Instance, st.Born, st.Sequence, st.Slots, phase
		m.Leavings = s.tracker.Leavings()
		m.NodeLeaving = s.handedOver.Load()
	})
	s.refreshTargets()
	s.broadcast(m)
}

// targetCheckInterval is the time between checks of the target's state.
const targetCheckInterval = 500 * time.Millisecond

const (
	// recoveryTimeout is the time after the start from which the target is attached on the word of any other node that remembers the
	// node's earlier process, if the store has not answered: a dial and its retry fit into it.
	recoveryTimeout = 600 * time.Millisecond
	// ownStateTimeout is the time after the start from which the target is attached although neither the store nor any other node has
	// told what the earlier process had acknowledged: reports are late by seconds, and count for seconds. Such a node has seldom
	// anything to do before, as it has neither a configuration nor peers.
	ownStateTimeout = 30 * time.Second
)

// updateOwnState decides whether it is known what an earlier process of this node has acknowledged, and attaches or detaches the
// target. Until then an old report could make a target ready again whose drain was acknowledged before a restart. The store knows all
// that was acknowledged; the other nodes may all have been restarted too, and count only while the store does not answer.
func (s *Sidecar) updateOwnState() {
	uptime := time.Since(s.started)
	if s.leavingsRead.Load() || s.toldOwnState.Load() || uptime >= recoveryTimeout && s.toldOwnEntry.Load() || uptime >= ownStateTimeout {
		s.ownStateRecovered.Store(true)
	}
	s.applyTarget()
}

// watchTarget detaches a target that crashed or stopped reporting.
func (s *Sidecar) watchTarget() {
	s.sleep(recoveryTimeout - time.Since(s.started))
	s.updateOwnState()
	s.every(targetCheckInterval, func() {
		s.probeTarget()
		s.updateOwnState()
	})
}
