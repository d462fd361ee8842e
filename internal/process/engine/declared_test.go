package engine

import (
	"cmp"
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
	"github.com/wigeoncleat/wigeoncleat/internal/version/policy"
)

// declinedAnswer returns a target's answer with the header that declares that the request had no effect.
func declinedAnswer(status int) *message.Response {
	return &message.Response{Outcome: message.Answered, Status: status, Header: http.Header{message.HeaderDeclined: {message.Declined}}}
}

// A non-idempotent request that was refused by a downstream service must run when the caller sends it again with the same key. The
// test also checks that the caller is told that the request was not run, and that only retries that were made count as used.
func TestOrderRefusedDownstreamCanBeRetried(t *testing.T) {
	for _, method := range []string{"GET", "POST"} {
		for _, at := range []string{"a1", "a2"} {
			synctest.Test(t, func(t *testing.T) {
				m := newMesh(t, "a1", "a2", "b1", "c1", "c2")
				m.runTarget = func(ctx context.Context, n *meshNode, req *message.Request) *message.Response {
					below := map[string]string{"a": "b", "b": "c"}[req.Service]
					if below == "" {
						return ok("done")
					}
					r := n.ServeFromTarget(ctx, targetCall(req, below, method))
					if r.Outcome == message.NotRun {
						return declinedAnswer(http.StatusBadGateway)
					}
					return ok("done")
				}
				req := order("a", m.node("a1").keys.Issue(1)[0])
				req.Method = method
				send := func() *message.Response { again := *req; return m.node(at).Serve(t.Context(), &again) }
				m.node("c1").full.Store(true)
				m.node("c2").full.Store(true)
				r := send()
				require.Equal(t, []any{message.NotRun, message.ReasonDeclined}, []any{r.Outcome, r.Reason})
				require.Equal(t, message.StepRun, r.Err.Step)
				require.Contains(t, r.Err.Detail, "queue full", "downstream cause")
				require.Equal(t, 1, m.runs("a"), "a declined request was retried within the call")
				require.Equal(t, policy.DefaultRetryBudget-1, r.RetriesLeft, "only the call to c was retried")
				m.node("c1").full.Store(false)
				r = send()
				require.Equal(t, []any{message.Answered, "done"}, []any{r.Outcome, string(r.Body)})
				require.Equal(t, 1, m.runs("c"))
			})
		}
	}
}

// A target that declines requests immediately looks idle and would attract more and more of them. Such requests must move to
// other targets, and the balancer must count them as failures of the target, unless a downstream refusal was the cause.
func TestUnableTargetIsAvoided(t *testing.T) {
	for _, method := range []string{"GET", "POST"} {
		synctest.Test(t, func(t *testing.T) {
			m := newMesh(t, "a1", "a2", "b1")
			m.runTarget = func(_ context.Context, n *meshNode, _ *message.Request) *message.Response {
				if n.address == "a1" {
					return declinedAnswer(http.StatusServiceUnavailable)
				}
				return ok("done")
			}
			req := order("a", m.node("b1").keys.Issue(1)[0])
			req.Method = method
			r := m.node("b1").Serve(t.Context(), req)
			require.Equal(t, []any{message.Answered, "done"}, []any{r.Outcome, string(r.Body)})
		})
	}
	require.True(t, balanceResult(&message.Response{Outcome: message.NotRun, Reason: message.ReasonTargetUnable}).Failed)
	require.False(t, balanceResult(&message.Response{Outcome: message.NotRun, Reason: message.ReasonDeclined}).Failed)
}

// A target's declaration that it did nothing must be ignored if the node has seen a call of it that may have had effects.
// Otherwise a key could run twice.
func TestDeclarationIsCheckedAgainstCalls(t *testing.T) {
	type calls func(ctx context.Context, n *meshNode, req *message.Request)
	for name, c := range map[string]struct {
		calls   calls
		status  int
		honored bool
	}{
		"no call": {calls: func(context.Context, *meshNode, *message.Request) {}, honored: true},
		"call not run": {honored: true, calls: func(ctx context.Context, n *meshNode, req *message.Request) {
			n.ServeFromTarget(ctx, targetCall(req, "c", "POST"))
		}},
		"call answered": {calls: func(ctx context.Context, n *meshNode, req *message.Request) {
			n.ServeFromTarget(ctx, targetCall(req, "b", "POST"))
			n.ServeFromTarget(ctx, targetCall(req, "c", "POST"))
		}},
		"call unknown": {calls: func(ctx context.Context, n *meshNode, req *message.Request) {
			n.mesh.delivery = func(string, *message.Request) delivery { return lost }
			n.ServeFromTarget(ctx, targetCall(req, "b", "POST"))
		}},
		"call still open": {calls: func(ctx context.Context, n *meshNode, req *message.Request) {
			go n.ServeFromTarget(ctx, targetCall(req, "b", "POST"))
			time.Sleep(time.Microsecond)
		}},
		"call with a span of the target": {calls: func(ctx context.Context, n *meshNode, req *message.Request) {
			call := targetCall(req, "b", "POST")
			call.Span = message.NewSpanID()
			n.ServeFromTarget(ctx, call)
		}},
		"call that may be another request's": {calls: func(ctx context.Context, n *meshNode, req *message.Request) {
			other := *req
			other.Span = message.NewSpanID()
			run := n.running.begin(&other)
			defer n.running.end(run)
			call := targetCall(req, "b", "POST")
			call.Span = message.NewSpanID()
			n.ServeFromTarget(ctx, call)
		}},
		"success": {calls: func(context.Context, *meshNode, *message.Request) {}, status: http.StatusOK},
	} {
		synctest.Test(t, func(t *testing.T) {
			m := newMesh(t, "a1", "b1", "c1")
			m.node("c1").full.Store(true)
			m.runTarget = func(ctx context.Context, n *meshNode, req *message.Request) *message.Response {
				if req.Service != "a" {
					return ok("done")
				}
				c.calls(ctx, n, req)
				return declinedAnswer(cmp.Or(c.status, http.StatusServiceUnavailable))
			}
			key := m.node("b1").keys.Issue(1)[0]
			r := m.node("b1").Serve(t.Context(), order("a", key))
			want := message.Answered
			if c.honored {
				want = message.NotRun
			}
			require.Equal(t, want, r.Outcome, name)
			require.Empty(t, r.Header.Get(message.HeaderDeclined), name)
			m.node("b1").Serve(t.Context(), order("a", key))
			runs := 1
			if c.honored {
				runs = 2
			}
			require.Equal(t, runs, m.runs("a"), name)
			time.Sleep(5 * time.Second)
		})
	}
}

// The retry-after time of a declined request must be the longer one of the target's Retry-After header and that of the
// downstream refusal.
func TestDeclinedRequestSaysWhenToComeBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(t, "a1", "b1")
		m.runTarget = func(ctx context.Context, n *meshNode, req *message.Request) *message.Response {
			n.shed.Store(true) // refuses with a retry-after time of 1 s
			n.ServeFromTarget(ctx, targetCall(req, "b", "GET"))
			n.shed.Store(false)
			r := declinedAnswer(http.StatusServiceUnavailable)
			r.Header.Set(message.HeaderRetryAfter, string(req.Body))
			return r
		}
		for header, want := range map[string][2]time.Duration{
			"": {time.Second, time.Second}, "x": {time.Second, time.Second}, "-5": {time.Second, time.Second},
			"30": {30 * time.Second, 45 * time.Second},
		} {
			req := read("a")
			req.Body = []byte(header)
			r := m.node("b1").Serve(t.Context(), req)
			require.Equal(t, message.ReasonDeclined, r.Reason, header)
			require.GreaterOrEqual(t, r.RetryAfter, want[0], header)
			require.LessOrEqual(t, r.RetryAfter, want[1], header)
		}
	})
}
