package process

import (
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
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
	s := newSite(t)
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
	s := newSite(t)
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
	s := newSite(t)
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
	// A planned stop interrupts nothing, so that no order is excluded.
	s.verifyGoals(outcomes, func(*outcome) bool { return false })
}
