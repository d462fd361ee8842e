package process

import (
	"flag"
	"math/rand/v2"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wigeoncleat/wigeoncleat/internal/version/rollout"
)

var (
	soakTime = flag.Duration("soak.duration", 0, "time in which TestSoak begins faults, at least shortSoak of them")
	soakSeed = flag.Uint64("soak.seed", 1, "seed of the order of faults in TestSoak")
)

// shortSoak is the least number of faults of TestSoak, and all that run without a duration.
const shortSoak = 3

// soakFault is a fault that ends with the site as it was before.
type soakFault struct {
	name string
	run  func(s *site, v *vm)
	// loses says that requests in flight during the fault may end as unknown.
	loses bool
}

var soakFaults = []soakFault{
	{"kill node", func(s *site, v *vm) {
		v.node.kill(s.t)
		s.await("members without the dead node", v.gone)
		v.startNode()
	}, true},
	{"restart node at once", func(s *site, v *vm) {
		v.node.kill(s.t)
		v.startNode()
	}, true},
	{"kill target", func(s *site, v *vm) {
		v.target.kill(s.t)
		s.await("members without the dead target", v.gone)
		v.startTarget()
	}, true},
	{"pause node", func(s *site, v *vm) {
		v.node.signal(s.t, syscall.SIGSTOP)
		time.Sleep(pauseTime)
		v.node.signal(s.t, syscall.SIGCONT)
	}, true},
	{"stop node", func(s *site, v *vm) {
		v.node.signal(s.t, syscall.SIGTERM)
		require.Zero(s.t, v.node.exitCode(s.t), "%s: exit code of a graceful stop", v.name())
		v.startNode()
	}, false},
	{"stop target", func(s *site, v *vm) {
		v.target.signal(s.t, syscall.SIGTERM)
		require.Zero(s.t, v.target.exitCode(s.t), "%s: exit code of a graceful stop", v.name())
		v.startTarget()
	}, false},
	{"stop platform", func(s *site, _ *vm) {
		s.platform.signal(s.t, syscall.SIGSTOP)
		time.Sleep(outageTime)
		s.platform.signal(s.t, syscall.SIGCONT)
	}, false},
	{"submit", func(s *site, v *vm) {
		st, ok := s.vms[0].status()
		require.True(s.t, ok)
		id, done := s.startSubmit(v, st.Version, "soak", "soak", addition("soak"))
		done.exitCode(s.t) // the definite result is asked for
		result := s.resume(s.vms[0], id)
		version := st.Version
		if result.State == rollout.StateAccepted {
			version = result.Version
		}
		s.awaitVersion(s.vms, version)
	}, false},
}

// Guards against faults that only show in some order: the faults of the other tests, one at a time, in random order at
// random VMs. `make soak` runs it for long.
func TestSoak(t *testing.T) {
	s := newSite(t)
	t.Logf("seed %d", *soakSeed)
	rng := rand.New(rand.NewPCG(*soakSeed, 0))
	l := s.startLoad()
	l.awaitOrders(warmUp)
	var lossy []func(*outcome) bool
	end := time.Now().Add(*soakTime)
	for n := 0; n < shortSoak || time.Now().Before(end); n++ {
		f, v := soakFaults[rng.IntN(len(soakFaults))], s.vms[rng.IntN(len(s.vms))]
		t.Logf("%s at %s", f.name, v.name())
		from := time.Now()
		f.run(s, v)
		s.await("all members ready after: "+f.name, func() bool { return s.allReady(s.vms) })
		for _, v := range s.vms {
			v.awaitReady()
		}
		if f.loses {
			lossy = append(lossy, inFlight(from, time.Now()))
		}
		l.awaitOrders(warmUp)
		s.verifyInvariants()
	}
	outcomes := l.finish()
	s.verify(outcomes)
	s.verifyGoals(outcomes, func(o *outcome) bool {
		for _, during := range lossy {
			if during(o) {
				return true
			}
		}
		return false
	})
}
