package measure

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
)

const (
	// naiveAttempts is the number of attempts at every hop.
	naiveAttempts = 3
	// naiveTimeout is the timeout of every attempt, regardless of the caller's deadline.
	naiveTimeout = clientTimeout
)

// naive is a node of the implementation that wigeoncleat is compared with: random target choice, no limits, FIFO queues,
// three attempts at every hop, no deadline propagation and no idempotency keys.
type naive struct {
	world   *World
	self    *member
	send    sender
	targets atomic.Pointer[map[string][]*member]
	leaving atomic.Bool
}

func newNaive(w *World, m *member) *naive {
	return &naive{world: w, self: m, send: sender{w, m}}
}

func (n *naive) IssueKey() string                        { return message.NewID().String() }
func (n *naive) SetTargets(targets map[string][]*member) { n.targets.Store(&targets) }
func (n *naive) Leave()                                  { n.leaving.Store(true) }

func (n *naive) ServeFromTarget(ctx context.Context, req *message.Request) *message.Response {
	return n.Serve(ctx, req)
}

// Serve sends the request to random targets until one responds without a server error, the attempts are used up or the
// context ends.
func (n *naive) Serve(ctx context.Context, req *message.Request) *message.Response {
	var r *message.Response
	for range naiveAttempts {
		r = n.attempt(ctx, req)
		if ctx.Err() != nil || (r.Outcome == message.Answered && r.Status < http.StatusInternalServerError) {
			return r
		}
	}
	return r
}

func (n *naive) attempt(ctx context.Context, req *message.Request) *message.Response {
	ctx, cancel := context.WithTimeout(ctx, naiveTimeout)
	defer cancel()
	targets := (*n.targets.Load())[req.Service]
	if len(targets) == 0 {
		return message.Refuse(message.ReasonNoTarget, message.Errorf(message.StepPick, n.self.address, "the service has no targets"))
	}
	to := targets[int(n.world.random()*float64(len(targets)))]
	downstream := *req
	downstream.Deadline = time.Now().Add(naiveTimeout)
	return n.send.Send(ctx, to.address, &downstream)
}

// HandlePeer passes the request to the local target.
func (n *naive) HandlePeer(ctx context.Context, req *message.Request) *message.Response {
	return n.self.target.Do(ctx, req)
}
