package sidecar

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/wigeoncleat/wigeoncleat/platform/standin"
)

// Bounds of the operators on what a target that speaks of itself in its responses still gets.
const (
	// limitSettleTime is the time after a target first named a limit from which the limit is judged, in windows of limitWindow: in
	// each, at most limitFactor times what the limit allows and limitSlack requests, from nodes that passed on such a response
	// toldTime before or earlier.
	limitSettleTime = 3 * time.Second
	limitWindow     = 4 * time.Second
	limitFactor     = 1.5
	limitSlack      = 5
	toldTime        = 500 * time.Millisecond
)

// originSuffix returns the end of the attempt ID of a request that is sent now at a VM.
func originSuffix(vm int) string { return fmt.Sprintf("@%d-%d", vm, time.Now().UnixNano()) }

// originOf returns the VM at which a request was sent, and when. It reports false for requests without an originSuffix.
func originOf(attempt string) (vm int, sent time.Time, ok bool) {
	number, nanoseconds, ok := strings.Cut(attempt[strings.LastIndexByte(attempt, '@')+1:], "-")
	if !ok {
		return 0, time.Time{}, false
	}
	vm, err := strconv.Atoi(number)
	if err != nil {
		return 0, time.Time{}, false
	}
	at, err := strconv.ParseInt(nanoseconds, 10, 64)
	return vm, time.Unix(0, at), err == nil
}

// toldNodes records when nodes passed on responses in which a target names a limit or says that it leaves. It is safe for
// concurrent use.
type toldNodes struct {
	mu      sync.Mutex
	limited map[toldKey][]time.Time
	leaving map[toldKey][]time.Time
}

type toldKey struct {
	vm       int
	instance string
}

func (n *toldNodes) record(vm int, r standin.Result) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.limited == nil {
		n.limited, n.leaving = map[toldKey][]time.Time{}, map[toldKey][]time.Time{}
	}
	key := toldKey{vm, r.Stamp}
	if r.Limited {
		n.limited[key] = append(n.limited[key], time.Now())
	}
	if r.Leaving {
		n.leaving[key] = append(n.leaving[key], time.Now())
	}
}

// nodeFault is a time in which a node was stopped, paused or cut off. Requests that were sent at its VM do not count unless it has been
// told since.
type nodeFault struct {
	from, until time.Time
	cut         bool // the node ran on
}

// duringFault records a fault of the node that lasts while f runs.
func (v *vm) duringFault(cut bool, f func()) {
	v.mu.Lock()
	at := len(v.nodeFaults)
	v.nodeFaults = append(v.nodeFaults, nodeFault{from: time.Now(), cut: cut})
	v.mu.Unlock()
	f()
	v.mu.Lock()
	v.nodeFaults[at].until = time.Now()
	v.mu.Unlock()
}

// steadySince returns the time since which the node has had no fault at the given time, and false if it has one then.
func (v *vm) steadySince(at time.Time, countCuts bool) (since time.Time, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, d := range v.nodeFaults {
		switch {
		case d.from.After(at) || d.cut && !countCuts:
		case d.until.IsZero() || d.until.After(at):
			return at, false
		case d.until.After(since):
			since = d.until
		}
	}
	return since, true
}

// wasTold reports whether the node was told of something before the given time and has had no fault since, until a request of it
// arrived.
func (s *site) wasTold(told map[toldKey][]time.Time, vm int, instance string, before, arrived time.Time, countCuts bool) bool {
	since, ok := s.vms[vm].steadySince(arrived, countCuts)
	return ok && slices.ContainsFunc(told[toldKey{vm, instance}], func(at time.Time) bool { return at.After(since) && at.Before(before) })
}

// verifyNotices checks the operators' bounds for all targets that named a limit or said that they leave.
func (s *site) verifyNotices() {
	s.told.mu.Lock()
	defer s.told.mu.Unlock()
	judged, counted := 0, 0
	for _, v := range s.vms {
		for _, target := range v.allTargets() {
			arrivals, limits := target.Arrivals()
			for _, limit := range limits {
				judged++
				counted += s.verifyLimit(target.Instance(), limit, arrivals)
			}
			for _, a := range arrivals {
				if vm, sent, ok := originOf(a.Attempt); ok {
					assert.False(s.t, s.wasTold(s.told.leaving, vm, target.Instance(), sent.Add(-drainBound), a.At, false),
						"request %s reached target %s, which VM %d knew to leave", a.Attempt, target.Instance(), vm)
				}
			}
		}
	}
	s.t.Logf("%d limits judged by %d requests, %d leaving targets known", judged, counted, len(s.told.leaving))
}

// verifyLimit checks one limit and returns the number of requests that count.
func (s *site) verifyLimit(instance string, limit standin.NamedLimit, arrivals []standin.Arrival) int {
	allowed := int(limitFactor*limit.PerSecond*limitWindow.Seconds()) + limitSlack
	var counted []time.Time
	for _, a := range arrivals {
		vm, _, ok := originOf(a.Attempt)
		if ok && a.At.After(limit.From.Add(limitSettleTime)) && (limit.Until.IsZero() || a.At.Before(limit.Until)) &&
			s.wasTold(s.told.limited, vm, instance, a.At.Add(-toldTime), a.At, true) {
			counted = append(counted, a.At)
		}
	}
	for i, at := range counted {
		if first := i - allowed; first >= 0 && at.Sub(counted[first]) <= limitWindow {
			assert.Fail(s.t, "limit exceeded", "target %s takes %g a second and got more than %d requests within %v, %v after it named that",
				instance, limit.PerSecond, allowed, limitWindow, at.Sub(limit.From))
			break
		}
	}
	return len(counted)
}
