package process

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wigeoncleat/wigeoncleat/client"
	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
	"github.com/wigeoncleat/wigeoncleat/internal/version/rollout"
)

// warmUp is the number of orders that succeed before a fault and after the site has recovered from it.
const warmUp = 100

// gone reports whether no other node counts the VM's target as ready.
func (v *vm) gone() bool {
	for _, other := range v.site.except(v) {
		if !other.knows(v.service, len(zones)-1) {
			return false
		}
	}
	return true
}

// Guards against requests that are lost, run twice or reported falsely when a node dies under load: its requests in flight
// may end as unknown, all others are answered by other nodes.
func TestNodeKilled(t *testing.T) {
	s := newSite(t, orderedSupplies)
	l := s.startLoad()
	l.awaitOrders(warmUp)
	v := s.vm("ordering", "az1")
	from := time.Now()
	v.node.kill(t)
	s.await("members without the dead node", v.gone)
	to := time.Now()
	l.awaitOrders(warmUp)
	outcomes := l.finish()
	s.verify(outcomes)
	s.verifyGoals(outcomes, inFlight(from, to))
}

// Guards against orders that are repeated at another target after the first target may have run them, and against requests
// that fail although another target of the service is alive.
func TestTargetKilled(t *testing.T) {
	s := newSite(t, orderedSupplies)
	l := s.startLoad()
	l.awaitOrders(warmUp)
	v := s.vm("ordering", "az1")
	from := time.Now()
	v.target.kill(t)
	s.await("members without the dead target", v.gone)
	to := time.Now()
	l.awaitOrders(warmUp)
	outcomes := l.finish()
	s.verify(outcomes)
	s.verifyGoals(outcomes, inFlight(from, to))
}

// pauseTime is longer than the heartbeat timeout of links and the bound on the age of evidence for a configuration version,
// so that the node resumes in a site that has given it up.
const pauseTime = 3 * time.Second

// Guards against a node that acts on what it held before a pause: keys, requests whose callers were told an outcome
// meanwhile, and an outdated confirmation of its configuration.
func TestNodePaused(t *testing.T) {
	s := newSite(t)
	l := s.startLoad()
	l.awaitOrders(warmUp)
	v := s.vm("ordering", "az1")
	from := time.Now()
	v.node.signal(t, syscall.SIGSTOP)
	time.Sleep(pauseTime)
	v.node.signal(t, syscall.SIGCONT)
	v.awaitReady()
	s.await("all members ready again", func() bool { return s.allReady(s.vms) })
	to := time.Now()
	l.awaitOrders(warmUp)
	outcomes := l.finish()
	s.verify(outcomes)
	s.verifyGoals(outcomes, inFlight(from, to))
}

// Guards against a graceful stop that cuts off a request, refuses work that other nodes could run, or lets new work reach
// the target after the node has left.
func TestNodeTerminated(t *testing.T) {
	s := newSite(t, orderedSupplies)
	l := s.startLoad()
	l.awaitOrders(warmUp)
	v := s.vm("ordering", "az1")
	v.node.signal(t, syscall.SIGTERM)
	require.Zero(t, v.node.exitCode(t), "exit code of a graceful stop")
	left := len(v.executions())
	s.await("members without the node", v.gone)
	l.awaitOrders(warmUp)
	outcomes := l.finish()
	s.verify(outcomes)
	require.Len(t, v.executions(), left, "executions at the target after its node has left")
	s.verifyGoals(outcomes, none)
}

// none excludes no order: the fault interrupts nothing.
func none(*outcome) bool { return false }

// Guards against requests that are lost when a target drains, and against new work for a target that has announced that it
// leaves: all nodes know of it while the target still serves.
func TestTargetTerminated(t *testing.T) {
	s := newSite(t, orderedSupplies)
	l := s.startLoad()
	l.awaitOrders(warmUp)
	v := s.vm("ordering", "az1")
	v.target.signal(t, syscall.SIGTERM)
	s.await("members without the target", func() bool { return v.gone() || !v.target.running() })
	require.True(t, v.target.running(), "nodes learn that the target leaves only from its end")
	l.awaitOrders(warmUp) // what was on its way to the target has arrived
	served := len(v.executions())
	require.Zero(t, v.target.exitCode(t), "exit code of a graceful stop")
	l.awaitOrders(warmUp)
	outcomes := l.finish()
	s.verify(outcomes)
	require.Len(t, v.executions(), served, "new work for a target that leaves")
	s.verifyGoals(outcomes, none)
}

// outageTime is longer than the bound on the age of evidence for a configuration version.
const outageTime = 4 * time.Second

// Guards against nodes that need the platform to go on: orders with node-issued keys run, all nodes stay confirmed, and a
// submit that the outage interrupts has a definite result after it.
func TestPlatformStopped(t *testing.T) {
	s := newSite(t)
	l := s.startLoad()
	l.awaitOrders(warmUp)
	s.platform.signal(t, syscall.SIGSTOP)
	id, done := s.startSubmit(s.vms[0], 1, "alice", "during the outage", addition("alice"))
	time.Sleep(outageTime)
	l.awaitOrders(warmUp)
	for _, v := range s.vms {
		st, ok := v.status()
		require.True(t, ok, v.name())
		require.True(t, st.Confirmed, "%s is not confirmed during the outage", v.name())
	}
	s.platform.signal(t, syscall.SIGCONT)
	code := done.exitCode(t)
	require.Contains(t, []int{exitOK, exitRefused, exitUnsettled}, code)
	result := s.resume(s.vms[1], id)
	if code != exitUnsettled {
		require.Equal(t, code == exitOK, result.State == rollout.StateAccepted, "first result: exit code %d", code)
	}
	s.awaitResult(s.vms, result)
	l.awaitOrders(warmUp)
	outcomes := l.finish()
	s.verify(outcomes)
	s.verifyGoals(outcomes, none)
}

// Guards against a restarted node that runs a key of the process before it: whether such a key ran is no longer known.
func TestNodeRestarted(t *testing.T) {
	s := newSite(t)
	l := s.startLoad()
	l.awaitOrders(warmUp)
	v := s.vm("ordering", "az1")
	keys := s.issueKeys(v, 2)
	c := s.newClient("az1")
	used := client.Request{Method: http.MethodPost, Path: "/ordering/orders/used", Key: keys[0]}
	unused := client.Request{Method: http.MethodPost, Path: "/ordering/orders/unused", Key: keys[1]}
	_, err := c.Do(t.Context(), used)
	require.NoError(t, err)
	from := time.Now()
	v.node.kill(t)
	v.startNode()
	v.awaitReady()
	s.await("all members ready again", func() bool { return s.allReady(s.vms) })
	to := time.Now()
	for _, zone := range zones {
		c := s.newClient(zone)
		for range len(s.vms) { // the client starts with another entry node each time
			for _, req := range []client.Request{used, unused} {
				_, err := c.Do(t.Context(), req)
				var unknown *client.UnknownError
				require.ErrorAs(t, err, &unknown)
				require.Equal(t, message.ReasonKeyExpired.String(), unknown.Reason, unknown)
			}
		}
	}
	l.awaitOrders(warmUp)
	outcomes := l.finish()
	ledger := s.verify(outcomes)
	require.Len(t, ledger.byPath["ordering POST /orders/used"], 1)
	require.Empty(t, ledger.byPath["ordering POST /orders/unused"])
	s.verifyGoals(outcomes, inFlight(from, to))
}
