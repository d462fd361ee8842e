package measure

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
)

const (
	// naiveAttempts is the number of attempts that every hop of the naive version makes.
	naiveAttempts = 3
	// naiveTimeout is the time that every attempt gets, whatever the caller waits.
	naiveTimeout = clientTimeout
)

// naive is the version that wigeoncleat is compared with: random targets, no limits, first in first out, three attempts
// at every hop, no deadline that travels along, no keys.
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

// Serve tries targets of the service until one answers.
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
		return message.Refuse(message.ReasonNoTarget, message.Errorf(message.StepPick, n.self.address, "no target"))
	}
	to := targets[int(n.world.random()*float64(len(targets)))]
	downstream := *req
	downstream.Deadline = time.Now().Add(naiveTimeout)
	return n.send.Send(ctx, to.address, &downstream)
}

// HandlePeer passes the request to the target.
func (n *naive) HandlePeer(ctx context.Context, req *message.Request) *message.Response {
	return n.self.target.Do(ctx, req)
}
