package sidecar

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wigeoncleat/wigeoncleat/platform/standin"
)

var (
	soakSeed  = flag.Uint64("soak.seed", 1, "first seed of the soak")
	soakSeeds = flag.Int("soak.seeds", 1, "number of seeds, one after the other")
	soakTime  = flag.Duration("soak.time", 10*time.Second, "how long faults are injected, for each seed")
	soakVMs   = flag.Int("soak.vms", 6, "VMs of the site")
)

// regressionSeeds are seeds that failed once, each with the cause in a comment. Every soak runs them.
var regressionSeeds = []uint64{}

const (
	soakCallers = 8
	// concurrentFaults is the number of faults in force at the same time.
	concurrentFaults = 3
	// drainBound is the operators' limit on how long requests may still reach a target after its drain was acknowledged.
	drainBound = 2 * time.Second
	// configBound is the operators' limit on the time until a configuration is in force, plus their limit for a store that
	// was disturbed.
	configBound = 7 * time.Second
	// memoryLimit is the memory limit in the nodes' settings, in bytes.
	memoryLimit = 284 << 20
	// recoveredShare is the share of requests that must succeed once all faults have ended.
	recoveredShare = 0.99
)

// TestSidecarSoak injects random faults, successive and overlapping, and checks the guarantees at callers and targets:
// responses are complete and belong to their request, orders run at most once, a request is reported as not run only if that
// is true, and a drained target gets no requests after drainBound.
func TestSidecarSoak(t *testing.T) {
	seeds := append([]uint64{}, regressionSeeds...)
	for i := range *soakSeeds {
		seeds = append(seeds, *soakSeed+uint64(i))
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) { soak(t, seed) })
	}
}

func soak(t *testing.T, seed uint64) {
	s := newSite(t, *soakVMs)
	stop := make(chan struct{})
	var mu sync.Mutex
	var results []result
	var load sync.WaitGroup
	for i := range soakCallers {
		load.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(i)+100))
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(5+rng.IntN(15)) * time.Millisecond):
				}
				r := s.randomRequest(rng, fmt.Sprintf("s%d-c%d-n%d", seed, i, n))
				mu.Lock()
				results = append(results, r)
				mu.Unlock()
			}
		})
	}
	s.injectFaults(seed, time.Now().Add(*soakTime))
	close(stop)
	load.Wait()
	s.verify(results)
	s.verifyRecovery(seed)
}

func (s *site) randomRequest(rng *rand.Rand, attempt string) result {
	v := s.vms[rng.IntN(len(s.vms))]
	if rng.IntN(3) == 0 {
		return send(v.ip, attempt, "/order/x", "order of "+attempt)
	}
	return send(v.ip, attempt, "/menu/x", "")
}

// injectFaults injects faults until the given time and waits until all have ended.
func (s *site) injectFaults(seed uint64, end time.Time) {
	var running sync.WaitGroup
	idleVMs := make(chan *vm, len(s.vms)) // VMs without a fault of their own
	for _, v := range s.vms {
		idleVMs <- v
	}
	for i := range concurrentFaults {
		running.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(i)))
			for time.Now().Before(end) {
				v := <-idleVMs
				s.injectFault(rng, v)
				idleVMs <- v
				time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
			}
		})
	}
	running.Wait()
	s.storeProxy.SetFault(standin.Pass)
	s.putConfiguration()
}

// injectFault injects one fault and ends it.
func (s *site) injectFault(rng *rand.Rand, v *vm) {
	randomDuration := func(limit time.Duration) time.Duration { return time.Duration(rng.Int64N(int64(limit))) }
	switch rng.IntN(13) {
	case 0: // the node is killed
		<-v.signal(syscall.SIGKILL, true)
		time.Sleep(randomDuration(500 * time.Millisecond))
		v.startNode()
	case 1: // graceful stop, in half of the cases with a second signal
		exited := v.signal(syscall.SIGTERM, true)
		if rng.IntN(2) == 0 {
			v.signal(syscall.SIGTERM, true)
		}
		select {
		case <-exited:
		case <-time.After(6 * time.Second):
			s.t.Errorf("node %s outlives its grace period", v.ip)
			<-v.signal(syscall.SIGKILL, true)
		}
		v.startNode()
	case 2: // the node is paused
		v.signal(syscall.SIGSTOP, false)
		time.Sleep(randomDuration(1500 * time.Millisecond))
		v.signal(syscall.SIGCONT, false)
	case 3:
		v.signal(syscall.SIGHUP, false)
	case 4: // the store cannot be reached or is slow, or its responses are lost
		disturb(rng, s.storeProxy, randomDuration(2*time.Second))
	case 5:
		s.store.DropResponses(1 + rng.IntN(3))
		s.store.FailNext(429, http.StatusServiceUnavailable)
	case 6: // connections from the node to its target are disturbed
		disturb(rng, v.targetProxy, randomDuration(time.Second))
	case 10, 11: // links from other nodes are disturbed, while the node can still reach the others
		disturb(rng, v.peerProxy, randomDuration(2*time.Second))
	case 7: // the target drains and another instance replaces it
		if v.target.Drain(2 * time.Second) {
			time.Sleep(drainBound + randomDuration(500*time.Millisecond))
		}
		v.stopTarget()
		v.startTarget()
	case 8: // the target crashes and another instance replaces it
		v.stopTarget()
		time.Sleep(randomDuration(time.Second))
		v.startTarget()
	case 12: // the target sends endless responses
		v.target.SendEndlessly(randomDuration(2 * time.Second))
		time.Sleep(randomDuration(2 * time.Second))
		assert.LessOrEqual(s.t, v.residentMemory(), int64(memoryLimit), "resident memory of %s", v.ip)
	case 9:
		s.store.DropHistory()
		s.storeProxy.ResetConnections()
	}
}

// disturb applies a random fault to the connections of a proxy for a time, then resets them.
func disturb(rng *rand.Rand, p *standin.Proxy, d time.Duration) {
	p.SetFault([]standin.Fault{standin.Delayed, standin.Stalled, standin.RepliesStalled, standin.ResetOnConnect}[rng.IntN(4)])
	time.Sleep(d)
	p.SetFault(standin.Pass)
	p.ResetConnections()
}

// verify compares the responses that callers received with the requests that targets ran.
func (s *site) verify(results []result) {
	runs := map[string]int{}
	for _, v := range s.vms {
		v.mu.Lock()
		targets := append(append([]*standin.Target{}, v.stoppedTargets...), v.target)
		v.mu.Unlock()
		for _, target := range targets {
			for attempt, n := range target.Runs() {
				runs[attempt] += n
			}
			assert.LessOrEqual(s.t, target.LastRunAfterDrain(), drainBound, "a request reached a target of %s after its drain", v.ip)
		}
	}
	statuses := map[int]int{}
	for _, r := range results {
		statuses[r.Status]++
		if r.Status == http.StatusOK {
			want := r.attempt + " /menu/x "
			if r.order {
				want = r.attempt + " /order/x order of " + r.attempt
			}
			assert.Equal(s.t, want, r.Body)
			assert.NotEmpty(s.t, r.Stamp, "success without the stamp of a target")
			assert.Positive(s.t, runs[r.attempt], "a request succeeded, but no target ran it")
		}
		if r.order {
			assert.LessOrEqual(s.t, runs[r.attempt], 1, "order %s", r.attempt)
			if r.Status == http.StatusServiceUnavailable {
				assert.Zero(s.t, runs[r.attempt], "order %s was refused, but has run", r.attempt)
			}
		}
		assert.NotContains(s.t, []int{400, 404, 413, 431}, r.Status, "a valid request was rejected")
	}
	s.t.Logf("%d requests, statuses %v", len(results), statuses)
}

// verifyRecovery checks that the system has recovered: every node serves the newest configuration and nearly every request.
func (s *site) verifyRecovery(seed uint64) {
	start := time.Now()
	s.awaitServing()
	require.LessOrEqual(s.t, time.Since(start), configBound, "recovery")
	rng := rand.New(rand.NewPCG(seed, 999))
	const requests = 200
	served := 0
	for n := range requests {
		if r := s.randomRequest(rng, fmt.Sprintf("s%d-calm-n%d", seed, n)); r.Status == http.StatusOK {
			served++
		}
	}
	assert.GreaterOrEqual(s.t, float64(served)/requests, recoveredShare)
}
