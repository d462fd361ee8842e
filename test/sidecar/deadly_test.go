package sidecar

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/wigeoncleat/wigeoncleat/platform/standin"
)

// Bounds of the operators on requests that end the targets that run them: from deadlySettleTime after the third end of a target,
// nodes without a fault for as long send such a request to targets at most maxLateRuns times.
const (
	deadlyPath       = "/menu/deadly"
	deadlySettleTime = 3 * time.Second
	maxLateRuns      = 3
)

// deadlyRequests records the targets that a request has ended.
type deadlyRequests struct {
	mu       sync.Mutex
	ends     []time.Time
	restarts sync.WaitGroup
}

// endTarget ends a target that has begun to run the request, and starts another one at its VM.
func (d *deadlyRequests) endTarget(v *vm, target *standin.Target) {
	d.mu.Lock()
	d.ends = append(d.ends, time.Now())
	d.restarts.Add(1)
	d.mu.Unlock()
	defer d.restarts.Done()
	target.Stop()
	v.replacing.Lock()
	defer v.replacing.Unlock()
	if v.currentTarget() != target {
		return // replaced by the soak meanwhile
	}
	v.stopTarget()
	time.Sleep(time.Second)
	v.startTarget()
}

// sendDeadly sends the request again and again, each time at a random VM.
func (s *site) sendDeadly(rng *rand.Rand, stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(100+rng.IntN(300)) * time.Millisecond):
		}
		v := s.vms[rng.IntN(len(s.vms))]
		send(v.ip, fmt.Sprintf("deadly-%d%s", n, originSuffix(v.number)), deadlyPath, "")
	}
}

// verifyDeadly checks the operators' bounds on the request that ends targets.
func (s *site) verifyDeadly() {
	s.deadly.restarts.Wait()
	ends := s.deadly.ends
	slices.SortFunc(ends, time.Time.Compare)
	late := 0
	for _, v := range s.vms {
		for _, target := range v.allTargets() {
			for attempt, n := range target.Runs() {
				vm, sent, ok := originOf(attempt)
				if !ok || attempt[:min(len(attempt), len("deadly"))] != "deadly" || len(ends) < 3 || sent.Sub(ends[2]) <= deadlySettleTime {
					continue
				}
				if since, steady := s.vms[vm].steadySince(sent, true); steady && sent.Sub(since) >= deadlySettleTime {
					late += n
				}
			}
		}
	}
	assert.LessOrEqual(s.t, late, maxLateRuns, "runs of a request that had ended three targets")
	s.t.Logf("a request has ended %d targets, %d of them late", len(ends), late)
}
