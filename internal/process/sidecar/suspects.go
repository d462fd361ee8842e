package sidecar

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/process/quarantine"
	"github.com/wigeoncleat/wigeoncleat/internal/process/report"
)

// suspectNews collects records of suspects for relayDelay and then sends them in one message: after a target has ended, many
// requests that were in progress are answered by other targets at about the same time. It is safe for concurrent use.
type suspectNews struct {
	send func([]quarantine.Record)

	mu   sync.Mutex
	list []quarantine.Record
}

func (n *suspectNews) add(list []quarantine.Record) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.list) == 0 {
		time.AfterFunc(relayDelay, n.flush)
	}
	n.list = append(n.list, list...)
}

func (n *suspectNews) flush() {
	n.mu.Lock()
	list := n.list
	n.list = nil
	n.mu.Unlock()
	n.send(list)
}

// absences are the times since when targets of this node's service are absent. It is safe for concurrent use.
type absences struct {
	mu   sync.Mutex
	list []absence
}

type absence struct {
	quarantine.Target
	down bool // its node cannot be reached
}

// update replaces the targets. An absence starts anew when its node becomes unreachable: from then on its target may be ready unnoticed.
func (a *absences) update(next []absence, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	before := make(map[string]absence, len(a.list))
	for _, old := range a.list {
		before[old.Address] = old
	}
	for i := range next {
		n := &next[i]
		old, ok := before[n.Address]
		switch {
		case n.AbsentSince.IsZero():
		case ok && !old.AbsentSince.IsZero() && old.down == n.down:
			n.AbsentSince = old.AbsentSince
		default:
			n.AbsentSince = now
		}
	}
	a.list = next
}

func (a *absences) targets() []quarantine.Target {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make([]quarantine.Target, len(a.list))
	for i := range a.list {
		out[i] = a.list[i].Target
	}
	return out
}

// refreshTrialTargets passes the targets of this node's service to the table of suspects, which chooses the nodes of trials.
func (s *Sidecar) refreshTrialTargets(now time.Time) {
	serving := map[string]bool{}
	for _, m := range s.directory.Targets()[s.settings.Service] {
		serving[m.Address] = true
	}
	unreachable := map[string]bool{}
	_, down := s.directory.Peers()
	for _, address := range down {
		unreachable[address] = true
	}
	var next []absence
	for _, m := range s.directory.All() {
		if m.Service != s.settings.Service || m.TargetLeaving() {
			continue
		}
		n := absence{quarantine.Target{Address: m.Address}, unreachable[m.Address]}
		if !serving[m.Address] {
			n.AbsentSince = now
		}
		next = append(next, n)
	}
	s.absences.update(next, now)
}

// endCheckInterval limits the connections that are opened while a target breaks off single responses.
const endCheckInterval = 100 * time.Millisecond

// checkTargetEnded opens a connection to the target after it has broken off a request. A process that has ended refuses it.
func (s *Sidecar) checkTargetEnded() {
	s.endCheckMu.Lock()
	defer s.endCheckMu.Unlock()
	if s.targetUnreachable.Load() || time.Since(s.endCheckedAt) < endCheckInterval {
		return
	}
	conn, err := net.DialTimeout("tcp", s.settings.TargetAddress, probeTimeout)
	s.endCheckedAt = time.Now()
	if err == nil {
		_ = conn.Close() // nothing was written
		return
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		s.markTargetUnreachable(err)
	}
}

// targetEnded records that a target process has ended, unless it had announced that it leaves.
func (s *Sidecar) targetEnded(st report.State) {
	if st.Instance != "" && st.Phase != report.PhaseDraining && st.Phase != report.PhaseGone {
		s.path.TargetEnded(st.Instance, st.Born)
	}
}
