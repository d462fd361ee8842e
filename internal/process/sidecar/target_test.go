package sidecar

import (
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/wigeoncleat/wigeoncleat/internal/process/report"
	"github.com/wigeoncleat/wigeoncleat/internal/version/routing"
)

// Guards against slots that stand idle at the smallest service of a chain while the deep calls of a surge are turned away,
// and against a limit in the range where targets slow down, which begins at 95 % of the slots.
func TestLimitUsesASmallTargetUpToItsKnee(t *testing.T) {
	s := &Sidecar{}
	for slots, limit := range map[int]int{1: 1, 10: 9, 36: 33, 39: 36, 185: 173} {
		l := s.limitsOf(report.State{Report: report.Report{Service: "royalty", Slots: slots}})
		require.Equal(t, limit, l.Slots, "%d slots", slots)
	}
}

// Guards against more connections than a target accepts from all callers together.
func TestLimitKeepsTheConnectionsOfTheService(t *testing.T) {
	table, err := routing.New(1, nil, []routing.Service{{Name: "royalty", Connections: 4}}, routing.DefaultLimits())
	require.NoError(t, err)
	s := &Sidecar{routes: atomic.Pointer[routing.Table]{}}
	s.routes.Store(table)
	l := s.limitsOf(report.State{Report: report.Report{Service: "royalty", Slots: 36}})
	require.Equal(t, 4, l.Connections)
}
