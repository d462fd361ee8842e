package sidecar

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wigeoncleat/wigeoncleat/internal/connection/targetconn"
	"github.com/wigeoncleat/wigeoncleat/internal/process/report"
	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
	"github.com/wigeoncleat/wigeoncleat/internal/version/routing"
)

// leavingTarget is a target that can say in its responses that it leaves.
type leavingTarget struct {
	mu       sync.Mutex
	leaving  bool
	arrivals []time.Time
}

func (g *leavingTarget) Do(context.Context, *targetconn.Exchange) (*targetconn.Response, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.arrivals = append(g.arrivals, time.Now())
	h := http.Header{}
	if g.leaving {
		h.Set("Leaving", "1")
	}
	return &targetconn.Response{Status: http.StatusOK, Header: h}, nil
}

func (g *leavingTarget) setLeaving(leaving bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaving = leaving
}

// arrivedSince returns the number of requests that arrived after the given time.
func (g *leavingTarget) arrivedSince(at time.Time) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, arrived := range g.arrivals {
		if arrived.After(at) {
			n++
		}
	}
	return n
}

// noticeCodec decodes the responses of a leavingTarget.
type noticeCodec struct{ stubCodec }

func (noticeCodec) DecodeResponse(_ *message.Request, a *targetconn.Response) *message.Response {
	return &message.Response{Outcome: message.Answered, Status: a.Status, Notice: &message.Notice{Leaving: a.Header.Get("Leaving") == "1"}}
}

// noticeCluster is a cluster of three nodes: "a" and "b" beside targets of the service menu, and "m", which sends requests.
type noticeCluster struct {
	*cluster
	targets  map[string]*leavingTarget // by address of the node
	sequence int64                     // of the targets' last reports
}

func runNoticeCluster(t *testing.T, test func(t *testing.T, c *noticeCluster)) {
	runCluster(t, func(t *testing.T, c *cluster) {
		n := &noticeCluster{cluster: c, targets: map[string]*leavingTarget{"a": {}, "b": {}, "m": {}}}
		table, err := routing.New(9, []*routing.Route{{
			Name: "menu", Host: "h", Prefix: "/menu/", Idempotent: true, Timeout: time.Second, MaxAttempts: 2,
			Split: []routing.WeightedService{{Service: "menu", Weight: 1}},
		}}, []routing.Service{{Name: "menu"}}, routing.DefaultLimits())
		require.NoError(t, err)
		table.Source([]byte{9}, 1)
		c.configure = func(s *Sidecar) {
			s.routes.Store(table)
			s.opts.Codec = noticeCodec{}
			s.connectTarget = func(string) exchanger { return n.targets[s.settings.PeerAddress] }
		}
		c.start("a", "menu")
		c.start("b", "menu")
		c.start("m", "store")
		time.Sleep(fullViewAge) // a node that has run for less does not tell others what it remembers of them
		n.report(t)
		time.Sleep(50 * time.Millisecond)
		test(t, n)
	})
}

// report delivers the next reports of the targets, which say that they are ready.
func (n *noticeCluster) report(t *testing.T) {
	n.sequence++
	require.NoError(t, n.nodes["a"].reportReady(n.sequence))
	require.NoError(t, n.nodes["b"].reportReady(n.sequence))
}

// send sends requests from node "m", one after the other, for the given time.
func (n *noticeCluster) send(d time.Duration) (answered int) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		req := &message.Request{Host: "h", Path: "/menu/x", Attempt: fmt.Sprint(time.Now().UnixNano()), Arrived: time.Now()}
		if r := n.nodes["m"].path.Serve(context.Background(), req); r.Outcome == message.Answered {
			answered++
		}
	}
	return answered
}

// sendUntilArrived sends requests until one has arrived at the target of the node. A target that has answered before is preferred
// to one whose load is not known, so that a second of requests may all go to one target.
func (n *noticeCluster) sendUntilArrived(t *testing.T, address string) {
	before := n.targets[address].arrivedSince(time.Time{})
	for range 1000 {
		n.report(t)
		n.send(100 * time.Millisecond)
		if n.targets[address].arrivedSince(time.Time{}) > before {
			return
		}
	}
	require.Fail(t, "no request arrived", "target of node %s", address)
}

// drainBound is the operators' limit on how long after it has passed on a response that says that the target leaves a node may
// still send requests to the target.
const drainBound = 2 * time.Second

// Guards against requests from a node that has passed on a response in which the target says that it leaves, while the target's
// own reports still say that it is ready and whatever happens to the node beside the target.
func TestTargetThatSaysItLeavesGetsNoRequests(t *testing.T) {
	faults := map[string]func(*noticeCluster){
		"none": func(*noticeCluster) {},
		"kill": func(n *noticeCluster) {
			n.kill("a")
			time.Sleep(100 * time.Millisecond)
			n.start("a", "menu")
		},
		"kill of all but the sender": func(n *noticeCluster) {
			n.kill("a")
			n.kill("b")
			time.Sleep(500 * time.Millisecond)
			n.start("a", "menu")
			n.start("b", "menu")
		},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			runNoticeCluster(t, func(t *testing.T, n *noticeCluster) {
				n.sendUntilArrived(t, "a")
				n.targets["a"].setLeaving(true)
				n.sendUntilArrived(t, "a")
				n.send(time.Second)
				passedOn := time.Now()
				fault(n)
				for range 8 {
					time.Sleep(recoveryTimeout / 2)
					n.report(t)
					n.send(recoveryTimeout)
				}
				require.Greater(t, time.Since(passedOn), drainBound)
				require.Zero(t, n.targets["a"].arrivedSince(passedOn.Add(drainBound)))
				require.NotZero(t, n.targets["b"].arrivedSince(passedOn.Add(drainBound)))
			})
		})
	}
}

// Guards against a target that gets no requests because a process that ran before under the same instance ID has left.
func TestInstanceThatStartsAnewAfterItLeftGetsRequests(t *testing.T) {
	runNoticeCluster(t, func(t *testing.T, n *noticeCluster) {
		n.targets["a"].setLeaving(true)
		n.sendUntilArrived(t, "a")
		n.targets["a"].setLeaving(false)
		restarted := time.Now()
		require.NoError(t, n.nodes["a"].Report(report.Report{Instance: "i-a", Born: 200, Sequence: 1, Service: "menu",
			Address: "target-a", Phase: report.PhaseReady, Slots: 10}))
		require.NoError(t, n.nodes["b"].Leave("i-b", 100)) // leaves all requests to the other target
		time.Sleep(50 * time.Millisecond)
		n.send(time.Second)
		require.NotZero(t, n.targets["a"].arrivedSince(restarted))
	})
}
