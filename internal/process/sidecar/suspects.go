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
