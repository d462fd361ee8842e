package link

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
)

// untilEnd runs a request until its context ends.
func untilEnd(ctx context.Context, _ *message.Request) *message.Response {
	<-ctx.Done()
	return message.UnknownOutcome(message.ReasonCancelled, message.Errorf(message.StepRun, "", "%v", ctx.Err()))
}

// Guards against the caller of a request that must not be repeated who waits until its deadline for the response of a node that has
// stopped: the peer is told before.
func TestRequestThatIsGivenUpIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pr := newPair(&testHandler{fn: untilEnd})
		defer pr.close()
		var stopped sync.WaitGroup
		defer stopped.Wait()
		stopped.Go(func() {
			time.Sleep(time.Second)
			pr.acceptor.GiveUp(message.ErrStopping)
			time.Sleep(50 * time.Millisecond)
			pr.restart(&testHandler{fn: echo})
		})
		start := time.Now()
		r := pr.dialer.Send(t.Context(), "b", newRequest(nil, time.Minute))
		require.Equal(t, message.Unknown, r.Outcome)
		require.Equal(t, time.Second, time.Since(start))
	})
}

// Guards against a request that must not be repeated and is broken off at its target because the node where it came in stops.
func TestStopOfTheSenderDoesNotCancelARequestThatRunsOnce(t *testing.T) {
	for _, idempotent := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			var completed atomic.Bool
			pr := newPair(&testHandler{fn: func(ctx context.Context, req *message.Request) *message.Response {
				select {
				case <-ctx.Done():
				case <-time.After(2 * time.Second):
					completed.Store(true)
				}
				return echo(ctx, req)
			}})
			defer pr.close()
			ctx, stop := context.WithCancelCause(t.Context())
			time.AfterFunc(time.Second, func() { stop(message.ErrStopping) })
			req := newRequest(nil, time.Minute)
			req.Idempotent = idempotent
			r := pr.dialer.Send(ctx, "b", req)
			require.Equal(t, message.Unknown, r.Outcome)
			time.Sleep(2 * time.Second)
			require.Equal(t, !idempotent, completed.Load())
		})
	}
}
