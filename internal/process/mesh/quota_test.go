package mesh

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
)

// countedQuota admits a number of requests.
type countedQuota struct {
	left      int
	givenBack int
	names     []string
}

func (q *countedQuota) Admit(name string) (bool, time.Duration) {
	q.names = append(q.names, name)
	if q.left == 0 {
		return false, time.Second
	}
	q.left--
	return true, 0
}

func (q *countedQuota) GiveBack(string) { q.givenBack++ }

// Guards against requests beyond the quota that are sent to a target, against refusals without a time to come back, and against calls of
// runs and requests without an organisation that count against a quota.
func TestQuotaAppliesToNewRequestsOfOrganisations(t *testing.T) {
	n := newNode(t, 2)
	n.withOrganisations(t)
	q := &countedQuota{left: 1}
	n.proxy.cfg.Quota = q
	require.Equal(t, message.Answered, n.proxy.Serve(t.Context(), keyed("/menu/1", "a", "key-l")).Outcome)
	r := n.proxy.Serve(t.Context(), keyed("/menu/1", "b", "key-l"))
	require.Equal(t, message.NotRun, r.Outcome)
	require.Equal(t, message.ReasonQuota, r.Reason)
	require.Equal(t, time.Second, r.RetryAfter)
	require.Len(t, n.sent, 1)
	n.proxy.activeRuns.begin(&attachedTarget{}, &message.Request{Attempt: "run", Organisation: "low", Deadline: time.Now().Add(time.Second)}, nil)
	require.Equal(t, message.Answered, n.proxy.Serve(t.Context(), keyed("/menu/1", "run.1", "")).Outcome, "a call")
	require.Equal(t, message.Answered, n.proxy.Serve(t.Context(), keyed("/public/1", "c", "")).Outcome, "no organisation")
	require.Equal(t, message.ReasonKeyUnknown, n.proxy.Serve(t.Context(), keyed("/menu/1", "d", "other")).Reason)
	require.Equal(t, []string{"low", "low"}, q.names)
	require.Zero(t, q.givenBack)
}

// Guards against quotas that are used up by requests which no target has received, and against those that a target has received and that
// no longer count.
func TestRequestThatReachesNoTargetReturnsItsQuota(t *testing.T) {
	for _, c := range []struct {
		name      string
		answer    *message.Response
		givenBack int
	}{
		{"overload", refusedBy(message.ReasonOverload), 1},
		{"target that declares that it did nothing", refusedBy(message.ReasonTargetUnable), 0},
		{"unknown outcome", mayHaveRun(message.ReasonDeadline), 0},
	} {
		n := newNode(t, 1)
		n.withOrganisations(t)
		q := &countedQuota{left: 1}
		n.proxy.cfg.Quota, n.answers = q, []*message.Response{c.answer}
		n.proxy.Serve(t.Context(), keyed("/menu/1", "a", "key-h"))
		require.Equal(t, c.givenBack, q.givenBack, c.name)
	}
}
