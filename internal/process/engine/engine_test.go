package engine

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
	"github.com/wigeoncleat/wigeoncleat/internal/standin/memory"
	"github.com/wigeoncleat/wigeoncleat/internal/version/policy"
)

// The retries of a root request must not multiply over the hops of a call chain, with lost responses, by way of the home node
// of a key, or when the caller repeats its request ID.
func TestRetriesOfARootStayWithinBudget(t *testing.T) {
	most := 0
	for seed := range uint64(200) {
		synctest.Test(t, func(t *testing.T) {
			m := newMesh(t, "a1", "a2", "a3", "b1", "b2", "b3", "c1", "c2", "c3")
			rng := rand.New(rand.NewPCG(seed, 1))
			var calls atomic.Int64
			var deliveries [64]delivery
			for i := range deliveries {
				deliveries[i] = delivery(seed / 4 % 3)
				if rng.IntN(2) == 0 {
					deliveries[i] = delivery(rng.IntN(3))
				}
			}
			var next atomic.Int64
			m.delivery = func(string, *message.Request) delivery { return deliveries[next.Add(1)%64] }
			m.runTarget = func(ctx context.Context, n *meshNode, req *message.Request) *message.Response {
				below := map[string]string{"a": "b", "b": "c"}[req.Service]
				for range 2 {
					if below != "" {
						calls.Add(1)
						n.ServeFromTarget(ctx, targetCall(req, below, []string{"GET", "POST"}[seed%2]))
					}
				}
				return ok("done")
			}
			req := read("a")
			if seed%4 >= 2 {
				req = order("a", m.node("c1").keys.Issue(1)[0])
			}
			for range 5 {
				again := *req
				before := m.attempts.Load()
				m.node("b1").Serve(t.Context(), &again)
				if m.attempts.Load() > before {
					calls.Add(1)
				}
			}
			retries := int(m.attempts.Load() - calls.Load())
			require.LessOrEqual(t, retries, policy.DefaultRetryBudget, "seed %d", seed)
			most = max(most, retries)
		})
	}
	require.Equal(t, policy.DefaultRetryBudget, most, "no seed used the whole budget")
}

// A caller that returns to an entry node after other entry nodes have used retries of the same request must not get a new
// share of the budget.
func TestBudgetHoldsOverEntryNodes(t *testing.T) {
	most := 0
	for seed := range uint64(100) {
		synctest.Test(t, func(t *testing.T) {
			m := newMesh(t, "a1", "a2", "a3", "b1", "c1")
			rng := rand.New(rand.NewPCG(seed, 2))
			m.delivery = func(string, *message.Request) delivery { return delivery(rng.IntN(3)) }
			m.runTarget = func(context.Context, *meshNode, *message.Request) *message.Response { return ok("done") }
			req := read("a")
			calls := 0
			for try := range 6 {
				again := *req
				before := m.attempts.Load()
				r := m.node([]string{"b1", "c1"}[try%2]).Serve(t.Context(), &again)
				if m.attempts.Load() > before {
					calls++
				}
				req.Retries = r.RetriesLeft
			}
			retries := int(m.attempts.Load()) - calls
			require.LessOrEqual(t, retries, policy.DefaultRetryBudget, "seed %d", seed)
			most = max(most, retries)
		})
	}
	require.Equal(t, policy.DefaultRetryBudget, most, "no seed used the whole budget")
}

// A caller of a non-idempotent request that does not send the header with its remaining retries (message.HeaderRetries) must not
// get a new budget at each entry node or for each request ID.
func TestBudgetOfAnOrderHoldsWithoutHeader(t *testing.T) {
	most := 0
	for seed := range uint64(200) {
		synctest.Test(t, func(t *testing.T) {
			m := newMesh(t, "a1", "a2", "a3", "b1", "b2", "c1")
			rng := rand.New(rand.NewPCG(seed, 3))
			m.delivery = func(to string, _ *message.Request) delivery {
				if to[:1] == "a" && rng.IntN(10) > 0 {
					return refused
				}
				return delivery(rng.IntN(3))
			}
			req := order("a", []string{m.node("c1").keys.Issue(1)[0], "order-17"}[seed%2])
			calls := 0
			for try := range 9 {
				again := *req
				if seed/2%2 == 0 {
					again.ID = message.NewID()
				}
				before := m.attempts.Load()
				m.node([]string{"b1", "c1", "b2"}[try%3]).Serve(t.Context(), &again)
				if m.attempts.Load() > before {
					calls++
				}
			}
			retries := int(m.attempts.Load()) - calls
			require.LessOrEqual(t, retries, policy.DefaultRetryBudget, "seed %d", seed)
			most = max(most, retries)
		})
	}
	require.Equal(t, policy.DefaultRetryBudget, most, "no seed used the whole budget")
}

// After the response was lost, only an idempotent request may be sent to another target. Any request must be sent to another
// target if the first one refused the connection.
func TestMovesToAnotherTargetOnlyIfSafe(t *testing.T) {
	for _, c := range []struct {
		method string
		first  delivery
		runs   int
		want   message.Outcome
	}{
		{"GET", refused, 1, message.Answered},
		{"POST", refused, 1, message.Answered},
		{"GET", lost, 2, message.Answered},
		{"POST", lost, 1, message.Unknown},
	} {
		synctest.Test(t, func(t *testing.T) {
			m := newMesh(t, "a1", "b1", "b2")
			m.delivery = func(to string, _ *message.Request) delivery {
				if to == "b1" {
					return c.first
				}
				return delivered
			}
			req := order("b", m.node("a1").keys.Issue(1)[0])
			req.Method = c.method
			require.Equal(t, c.want, m.node("a1").Serve(t.Context(), req).Outcome, "%+v", c)
			require.Equal(t, c.runs, m.runs("b"), "%+v", c)
		})
	}
}

// The outcome must not be NotRun after an attempt that may have run: within a call, for a repeated request ID whose earlier
// attempt has ended or still runs, and while the node is leaving or sheds load.
func TestNotRunIsNeverFalse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(t, "a1", "b1", "b2")
		a := m.node("a1")
		m.delivery = func(to string, _ *message.Request) delivery {
			return map[string]delivery{"b1": lost, "b2": refused}[to]
		}
		req := read("b")
		repeat := func() message.Outcome { again := *req; return a.Serve(t.Context(), &again).Outcome }
		require.Equal(t, message.Unknown, repeat(), "lost, then refused")
		m.delivery = func(string, *message.Request) delivery { return refused }
		require.Equal(t, message.Unknown, repeat(), "repeat that is refused")
		require.Equal(t, message.NotRun, a.Serve(t.Context(), read("b")).Outcome, "another request")
		a.shed.Store(true)
		require.Equal(t, message.Unknown, repeat(), "repeat that is shed")
		a.shed.Store(false)

		m.delivery = func(string, *message.Request) delivery { return delivered }
		m.runTarget = func(context.Context, *meshNode, *message.Request) *message.Response {
			time.Sleep(time.Second)
			return ok("late")
		}
		req = read("b")
		go repeat()
		time.Sleep(100 * time.Millisecond)
		a.shed.Store(true)
		require.Equal(t, message.Unknown, repeat(), "repeat while the first attempt runs")
		a.Leave()
		require.Equal(t, message.Unknown, repeat(), "repeat at a node that is leaving")
		time.Sleep(5 * time.Second)
		require.Equal(t, message.Unknown, repeat(), "repeat after the first attempt")
	})
}

// A key must not run twice, lose its recorded response, or be reported as not run after it may have run. Covers repeats at
// the home node and at other nodes, another body, a restarted home node and one that cannot be reached.
func TestKeyedRequests(t *testing.T) {
	for _, callerSupplied := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			m := newMesh(t, "a1", "a2", "b1")
			home := m.node("a1")
			key := "order-17"
			if !callerSupplied {
				key = home.keys.Issue(1)[0]
			}
			send := func(at, body string) *message.Response {
				r := order("b", key)
				r.Body = []byte(body)
				return m.node(at).Serve(t.Context(), r)
			}
			for _, at := range []string{"a1", "a1", "a2"} {
				require.Equal(t, "done", string(send(at, "x").Body), at)
			}
			for _, at := range []string{"a1", "a2"} {
				r := send(at, "y")
				require.Equal(t, []any{message.ReasonKeyConflict, "a1"}, []any{r.Reason, r.Err.Peer})
			}
			home.shed.Store(true)
			require.Equal(t, message.Answered, send("a1", "x").Outcome, "repeat at a home node that sheds")
			m.delivery = func(to string, _ *message.Request) delivery { return map[string]delivery{"a1": refused}[to] }
			r := send("a2", "x")
			require.Equal(t, []any{message.Unknown, message.ReasonConnection}, []any{r.Outcome, r.Reason})
			m.delivery = func(string, *message.Request) delivery { return delivered }
			m.start("a1", 2)
			for _, at := range []string{"a1", "a2"} {
				r := send(at, "x")
				require.Equal(t, []any{message.Unknown, message.ReasonKeyExpired}, []any{r.Outcome, r.Reason}, at)
			}
			require.Equal(t, 1, m.runs("b"))
		})
	}
}

// While its binding cannot be read, a caller-supplied key must neither run nor be reported as not run. Node-issued keys must
// work without the platform.
func TestPlatformDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(t, "a1", "b1")
		a := m.node("a1")
		for i, f := range []memory.Faults{{Down: true}, {Hang: true}} {
			m.platform.SetFaults(f)
			r := a.Serve(t.Context(), order("b", "order-1"))
			require.Equal(t, []any{message.Unknown, message.ReasonPlatform}, []any{r.Outcome, r.Reason})
			require.Positive(t, r.RetryAfter)
			require.Equal(t, message.Answered, a.Serve(t.Context(), order("b", a.keys.Issue(1)[0])).Outcome)
			require.Equal(t, i+1, m.runs("b"))
		}
		m.platform.SetFaults(memory.Faults{LoseAnswer: true})
		for range 2 {
			require.Equal(t, message.Answered, a.Serve(t.Context(), order("b", "order-1")).Outcome)
		}
		require.Equal(t, 3, m.runs("b"))
	})
}

// An order whose caller disconnects must run to its end, must not run again, and a repeat must get its response.
func TestCallerLeavesAndRepeats(t *testing.T) {
	for _, at := range []string{"a1", "a2"} {
		synctest.Test(t, func(t *testing.T) {
			m := newMesh(t, "a1", "a2", "b1")
			m.runTarget = func(ctx context.Context, _ *meshNode, _ *message.Request) *message.Response {
				select {
				case <-time.After(500 * time.Millisecond):
					return ok("done")
				case <-ctx.Done():
					return message.UnknownOutcome(message.ReasonCancelled, message.Errorf(message.StepRun, "", "cancelled"))
				}
			}
			key := m.node("a1").keys.Issue(1)[0]
			ctx, leave := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer leave()
			go m.node(at).Serve(ctx, order("b", key))
			time.Sleep(200 * time.Millisecond)
			r := m.node(at).Serve(t.Context(), order("b", key))
			require.Equal(t, []any{message.Answered, "done"}, []any{r.Outcome, string(r.Body)})
			require.Equal(t, 1, m.runs("b"))
		})
	}
}

// A node that stops gracefully, or whose configuration is not confirmed, must refuse new requests. It must still serve the
// calls of requests that run at its target, and answer repeats of completed keys.
func TestLeavingAndUnconfirmedNodes(t *testing.T) {
	for _, reason := range []message.Reason{message.ReasonLeaving, message.ReasonUnconfirmed} {
		synctest.Test(t, func(t *testing.T) {
			m := newMesh(t, "a1", "a2", "b1")
			a := m.node("a1")
			var below []message.Outcome
			m.runTarget = func(ctx context.Context, n *meshNode, req *message.Request) *message.Response {
				if req.Service == "a" {
					time.Sleep(time.Second)
					for _, method := range []string{"GET", "POST"} {
						below = append(below, n.ServeFromTarget(ctx, targetCall(req, "b", method)).Outcome)
					}
				}
				return ok("done")
			}
			keys := append(a.keys.Issue(1), "order-17")
			for _, key := range keys {
				require.Equal(t, message.Answered, a.Serve(t.Context(), order("b", key)).Outcome)
			}
			started := make(chan *message.Response, 1)
			go func() { started <- a.Serve(t.Context(), read("a")) }()
			time.Sleep(time.Millisecond)
			if reason == message.ReasonLeaving {
				a.Leave()
			} else {
				a.unconfirmed.Store(true)
			}
			for _, r := range []*message.Response{
				a.Serve(t.Context(), read("b")), a.Serve(t.Context(), order("b", a.keys.Issue(1)[0])),
				a.Serve(t.Context(), order("b", "order-18")), a.ServeFromTarget(t.Context(), read("b")), a.HandlePeer(t.Context(), read("a")),
			} {
				require.Equal(t, []any{message.NotRun, reason}, []any{r.Outcome, r.Reason})
			}
			require.Equal(t, policy.DefaultRetryBudget, a.Serve(t.Context(), read("b")).RetriesLeft)
			require.Equal(t, message.Answered, m.node("a2").Serve(t.Context(), order("b", "order-18")).Outcome,
				"the node claimed a key that it does not run")
			for _, at := range []string{"a1", "a2"} {
				for _, key := range keys {
					require.Equal(t, message.Answered, m.node(at).Serve(t.Context(), order("b", key)).Outcome, at)
				}
			}
			require.Equal(t, message.Answered, (<-started).Outcome)
			require.Equal(t, []message.Outcome{message.Answered, message.Answered}, below)
			require.Equal(t, 5, m.runs("b"))
		})
	}
}

// A call that a target makes must have the ID and the priority of the root request, so that a threshold that admits the root
// request does not shed the call, and its deadline must be before that of the root request. The thresholds of all services
// in the chain must reach the entry node.
func TestChainFollowsItsRoot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(t, "a1", "b1", "c1")
		m.node("b1").threshold, m.node("c1").threshold = 7, 9
		m.runTarget = func(ctx context.Context, n *meshNode, req *message.Request) *message.Response {
			if below := map[string]string{"a": "b", "b": "c"}[req.Service]; below != "" {
				call := targetCall(req, below, "GET")
				call.Span = message.NewSpanID()
				call.Deadline = time.Now().Add(time.Hour)
				require.Equal(t, message.Answered, n.ServeFromTarget(ctx, call).Outcome)
			}
			return ok("done")
		}
		req := order("a", m.node("c1").keys.Issue(1)[0])
		req.Deadline = time.Now().Add(300 * time.Millisecond)
		deadline := req.Deadline
		require.Equal(t, message.Answered, m.node("c1").Serve(t.Context(), req).Outcome)
		for hop, address := range []string{"a1", "b1", "c1"} {
			got := m.node(address).ran[0]
			require.Equal(t, []any{req.ID, message.NewPriority(20, req.ID), uint8(hop)}, []any{got.ID, got.Priority, got.Hop})
			require.True(t, got.Deadline.Before(deadline), "hop %d", hop)
			deadline = got.Deadline
		}
		require.Equal(t, map[string]message.Priority{"a": 0, "b": 7, "c": 9}, m.node("c1").learned)
	})
}

// A full shard must not forget what the previous generation holds of a root request. New root requests get no retries.
func TestFullRootMemoryKeepsKnownRoots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRoots()
		first := message.ID{0: 1}
		r.get(first, 3).mayHaveRun.Store(true)
		time.Sleep(rootRetention + time.Second)
		for i := range maxRootsPerShard {
			require.Equal(t, 3, r.get(message.ID{2: byte(i), 3: byte(i >> 8), 4: 1}, 3).ledger.Left())
		}
		require.True(t, r.get(first, 3).mayHaveRun.Load())
		require.Zero(t, r.get(message.ID{0: 2}, 3).ledger.Left())
	})
}

// The error of a refusal by admission must name the node that refused.
func TestAdmissionRefusalNamesItsNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(t, "a1", "b1")
		m.node("b1").full.Store(true)
		r := m.node("a1").Serve(t.Context(), read("b"))
		require.Equal(t, []any{message.NotRun, message.ReasonOverload}, []any{r.Outcome, r.Reason})
		require.Equal(t, "admit b1: queue full", r.Err.Error())
	})
}

// A retry must not count as used if no target was left to send it to.
func TestRetryWithoutTargetIsGivenBack(t *testing.T) {
	for _, method := range []string{"GET", "POST"} {
		synctest.Test(t, func(t *testing.T) {
			m := newMesh(t, "a1", "b1", "b2")
			m.delivery = func(string, *message.Request) delivery { return refused }
			req := order("b", m.node("a1").keys.Issue(1)[0])
			req.Method = method
			for left := policy.DefaultRetryBudget - 1; left >= 0; left-- { // two targets: one retry in each attempt of the caller
				again := *req
				r := m.node("a1").Serve(t.Context(), &again)
				require.Equal(t, []any{message.NotRun, left}, []any{r.Outcome, r.RetriesLeft}, method)
			}
		})
	}
}

// Behind the entry node, a request must count with the highest priority of its rank, so that thresholds shed whole ranks only.
// It must not count with a higher rank than its own, although earlier hops have worked on it.
func TestShedPriorityBehindEntry(t *testing.T) {
	entry := call{req: &message.Request{Priority: 10<<8 | 7}}
	require.Equal(t, message.Priority(10<<8|7), entry.shedPriority())
	behind := call{req: &message.Request{Priority: 10<<8 | 7, Hop: 1}}
	require.Equal(t, message.Priority(10<<8|255), behind.shedPriority())
}
