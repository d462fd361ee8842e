package sidecar

import (
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/process/pace"
)

// reportedWarmup returns how much longer the attached target says that it is slow, or zero if it does not say or cannot be right.
func (s *Sidecar) reportedWarmup() time.Duration {
	st := s.tracker.State(time.Now())
	if st.Warmup == 0 {
		return 0
	}
	if !pace.ValidWarmup(st.Warmup) {
		s.ignoredWarmups.Add(1)
		return 0
	}
	return max(0, st.Warmup-time.Since(st.At))
}

// hasWarmPeers reports whether another target of this node's service has run for long enough to be warm. Start times are of the
// targets' clocks; one in the future counts as just now.
func (s *Sidecar) hasWarmPeers() bool {
	for _, m := range s.directory.Targets()[s.settings.Service] {
		if m.Address != s.settings.PeerAddress && time.Since(time.UnixMilli(m.Born)) > pace.WarmAge {
			return true
		}
	}
	return false
}
