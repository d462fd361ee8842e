package sidecar

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wigeoncleat/wigeoncleat/internal/connection/targetconn"
	"github.com/wigeoncleat/wigeoncleat/internal/process/report"
	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
	"github.com/wigeoncleat/wigeoncleat/internal/version/routing"
)

// Guards against idle slots at the smallest service of a chain while its subrequests are shed under load, and against a
// limit in the range where targets slow down (beyond the knee of the load curve), which starts at 95 % of the slots.
func TestLimitUsesASmallTargetUpToItsKnee(t *testing.T) {
	s := &Sidecar{}
	for slots, limit := range map[int]int{1: 1, 10: 9, 36: 33, 39: 36, 185: 173} {
		l := s.limitsOf(report.State{Report: report.Report{Service: "royalty", Slots: slots}})
		require.Equal(t, limit, l.Slots, "%d slots", slots)
	}
}

// Guards against more connections than the target accepts from all callers together.
func TestLimitKeepsTheConnectionsOfTheService(t *testing.T) {
	table, err := routing.New(1, nil, []routing.Service{{Name: "royalty", Connections: 4}}, routing.DefaultLimits())
	require.NoError(t, err)
	s := &Sidecar{routes: atomic.Pointer[routing.Table]{}}
	s.routes.Store(table)
	l := s.limitsOf(report.State{Report: report.Report{Service: "royalty", Slots: 36}})
	require.Equal(t, 4, l.Connections)
}

// refusingTarget refuses all connections.
type refusingTarget struct{ tries int }

func (u *refusingTarget) Do(context.Context, *targetconn.Exchange) (*targetconn.Response, error) {
	u.tries++
	return nil, &targetconn.Error{Err: errors.New("connection refused")}
}

type stubCodec struct{ Codec }

func (stubCodec) EncodeRequest(*message.Request, time.Time) ([]byte, []byte) { return nil, nil }

// Guards against requests that are sent to a crashed target until its reports are overdue: refused connections detach
// it, and the requests that met them count as not run.
func TestRefusedConnectionsDetachTheTarget(t *testing.T) {
	detached := 0
	tg := &target{pool: &refusingTarget{}, codec: stubCodec{}, onUnreachable: func(error) { detached++ }}
	tg.Do(t.Context(), &message.Request{})
	require.Zero(t, detached, "a single connection can be lost")
	r := tg.Do(t.Context(), &message.Request{})
	require.Equal(t, message.NotRun, r.Outcome)
	require.Equal(t, message.ReasonConnection, r.Reason)
	require.Equal(t, 1, detached)

	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.Equal(t, message.ReasonCancelled, tg.Do(ctx, &message.Request{}).Reason)
	require.Equal(t, 1, detached, "a cancelled request does not count as a failure of the target")
}
