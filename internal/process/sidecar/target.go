package sidecar

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/connection/targetconn"
	"github.com/wigeoncleat/wigeoncleat/internal/process/admission"
	"github.com/wigeoncleat/wigeoncleat/internal/process/directory"
	"github.com/wigeoncleat/wigeoncleat/internal/process/event"
	"github.com/wigeoncleat/wigeoncleat/internal/process/report"
	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
)

// maxAnswer bounds the body of a target's answer, in bytes.
const maxAnswer = 16 << 20

// target exchanges requests with the target beside the node. It implements mesh.Target.
type target struct {
	pool   exchanger
	codec  Codec
	closed func() // told when the target opens no connections

	refused atomic.Int32 // connections in a row that were not opened
}

// maxRefused is the number of connections in a row that a target may fail to open. A single one can be lost while its queue
// of new connections is full.
const maxRefused = 2

// exchanger is the part of targetconn.Pool that a target needs.
type exchanger interface {
	Do(ctx context.Context, x *targetconn.Exchange) (*targetconn.Answer, error)
}

// Do implements mesh.Target.
func (t *target) Do(ctx context.Context, req *message.Request) *message.Response {
	a, err := t.pool.Do(ctx, &targetconn.Exchange{
		Method:  req.Method,
		Bytes:   t.codec.EncodeRequest(req, time.Now()),
		Fresh:   !req.Idempotent,
		Owns:    func(h http.Header) bool { return t.codec.Owns(req, h) },
		MaxBody: maxAnswer,
		Memory:  req.Memory,
	})
	if err == nil {
		t.refused.Store(0)
		return t.codec.DecodeAnswer(req, a)
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
		if ctx.Err() == nil && t.refused.Add(1) >= maxRefused {
			t.closed()
		}
		return message.Refuse(reason, message.Errorf(message.StepRun, req.Instance, "%v", err))
	}
	return message.UnknownOutcome(reason, message.Errorf(message.StepRun, req.Instance, "%v", err))
}

const (
	// limitShare is the part of a target's slots that requests may take. Targets of both users slow down from 95 % of
	// their slots on.
	limitShare = 0.94
	// newShare is the part of a target's slots that new requests get while calls of chains wait too. At the deepest services
	// of both users, the requests that begin there take an eighth of the slots at the usual load.
	newShare = 0.1
	// queueShare is the length of the queue in front of a target, as a multiple of its slots.
	queueShare = 1.0
	// defaultQueueWait bounds the wait of work that states no bound of its own.
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

// TargetLimits returns the admission limits of a target with the given slots and connections.
func TargetLimits(slots, connections int) admission.Limits {
	return admission.Limits{
		Slots:             max(1, int(limitShare*float64(slots))),
		Connections:       connections,
		QueueLength:       max(1, int(queueShare*float64(slots))),
		QueueMaxWait:      defaultQueueWait,
		SubrequestsFirst:  true,
		NewRequestShare:   newShare,
		MixedServiceTimes: true,
	}
}

// Report implements the interface for the target's reports.
func (s *Sidecar) Report(r report.Report) error {
	if r.Service != s.settings.Service || r.Address != s.settings.TargetAddress {
		err := fmt.Errorf("report of %s: service %q at %s is not the target of this node", r.Instance, r.Service, r.Address)
		event.Log(s.log, event.ReportRejected, slog.String("error", err.Error()))
		return err
	}
	verdict := s.tracker.Observe(r, time.Now())
	if verdict != report.Ignored {
		s.doubtful.Store(false) // it runs
	}
	switch verdict {
	case report.Replaced:
		event.Log(s.log, event.TargetReplaced, slog.String("instance", r.Instance), slog.Int64("born", r.Born),
			slog.Int64("sequence", r.Sequence), slog.String("phase", r.Phase.String()), slog.Int("slots", r.Slots))
	case report.Changed:
		event.Log(s.log, event.TargetChanged, slog.String("instance", r.Instance), slog.Int64("sequence", r.Sequence),
			slog.String("phase", r.Phase.String()), slog.Int("slots", r.Slots))
	case report.Ignored, report.Renewed:
	}
	s.applyTarget()
	s.awaitDrainKnown()
	return nil
}

// Leave implements the interface for the target's reports.
func (s *Sidecar) Leave(instance string) error {
	if s.tracker.Leave(instance, time.Now()) {
		event.Log(s.log, event.TargetChanged, slog.String("instance", instance), slog.String("phase", report.PhaseGone.String()))
	}
	s.applyTarget()
	s.awaitDrainKnown()
	return nil
}

// applyTarget opens or shuts the way to the target and spreads its state. Work is refused here before anybody is told, so
// that an acknowledged leave binds although other nodes learn of it later.
func (s *Sidecar) applyTarget() {
	s.targetMu.Lock()
	defer s.targetMu.Unlock()
	st := s.tracker.State(time.Now())
	open := st.Phase == report.PhaseReady && s.settled.Load() && !s.leaving.Load() && !s.doubtful.Load()
	id := ""
	if open {
		id = fmt.Sprintf("%s/%d", st.Instance, st.Born)
	}
	switch {
	case id == s.serving:
	case open:
		s.path.AttachTarget(st.Service, st.Instance, admission.New(s.limitsOf(st)),
			&target{pool: targetconn.NewPool(st.Address), codec: s.opts.Codec, closed: s.doubtTarget})
	default:
		s.path.DetachTarget()
	}
	s.serving = id
	s.publishTarget(st, open)
}

// doubtTarget shuts the way to a target that opens no connection, until it does again.
func (s *Sidecar) doubtTarget() {
	if s.doubtful.Swap(true) {
		return
	}
	event.Log(s.log, event.TargetRefusesConnections, slog.String("target", s.settings.TargetAddress))
	go s.applyTarget() // the caller is a request of the target that is being shut
}

// probeTimeout bounds the opening of a connection to the target, which runs on the same VM.
const probeTimeout = 200 * time.Millisecond

// lookAtTarget opens a connection to a target that is in doubt or overdue with its report. A target that was lost without a
// word shows at once that way, while reports may be late by seconds.
func (s *Sidecar) lookAtTarget() {
	if !s.doubtful.Load() && !s.tracker.Quiet(time.Now()) {
		return
	}
	conn, err := net.DialTimeout("tcp", s.settings.TargetAddress, probeTimeout)
	if err != nil {
		s.doubtTarget()
		return
	}
	_ = conn.Close() // nothing was written
	s.doubtful.Store(false)
}

// publishTarget writes the target's state to the node's own entry and spreads it if it changed.
func (s *Sidecar) publishTarget(st report.State, open bool) {
	phase := st.Phase
	if phase == report.PhaseReady && !open {
		phase = report.PhaseUnknown
	}
	own := s.directory.Self()
	if own.Instance == st.Instance && own.Born == st.Born && own.Phase == phase && own.Slots == st.Slots &&
		own.Leaving == s.leaving.Load() {
		return
	}
	m := s.directory.Update(func(m *directory.Member) {
		m.Instance, m.Born, m.Sequence, m.Slots, m.Phase = st.Instance, st.Born, st.Sequence, st.Slots, phase
		m.Leaving = s.leaving.Load()
	})
	s.refreshTargets()
	s.broadcast(m)
}

// checkInterval is the time between looks at the age of the target's last report.
const checkInterval = 500 * time.Millisecond

// settleTime is the time after the start in which other nodes can say what they remember of this node's target. Without
// that, an old report could make a target ready again that this node had acknowledged as leaving before a restart. It holds a
// dial and its retry; a longer one keeps all targets shut after a loss of all nodes at once.
const settleTime = 600 * time.Millisecond

// watchTarget shuts the way to a target that has fallen silent.
func (s *Sidecar) watchTarget() {
	s.sleep(settleTime - time.Since(s.started))
	if !s.settled.Swap(true) {
		s.applyTarget()
	}
	s.every(checkInterval, func() {
		s.lookAtTarget()
		s.applyTarget()
	})
}
