// Package shed refuses a request before it is sent if the called service or one of the services downstream of it would refuse
// it, so that no hop works for a request that a later hop sheds.
//
// Each service reports its shedding threshold, the lowest priority that it admits, with its responses, and its response to the
// upstream hop carries the thresholds of the services that it called. A node learns from them on which services each route
// depends. The thresholds in a Table are estimates: they are averaged over the targets of a service, they decay and expire when
// no response renews them, and once no response has renewed them for probeAfter, a small share of the requests below them is
// admitted as probes.
//
// A Table is safe for concurrent use. Admit and Current read copy-on-write snapshots and atomics; a mutex is locked only when a
// dependency of a route or a service is seen for the first time.
package shed

import (
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
)

const (
	// freshPeriod is the age up to which a threshold applies in full and is passed on with responses.
	freshPeriod = 300 * time.Millisecond
	// expiryAge is the age at which a threshold that no response has renewed reaches zero. It has to be short: the system must
	// recover within 2 s after an overload, and the admission control of the targets needs about a second of that time to lower
	// its own threshold. The two overlap, because the threshold here falls, and admits requests, from freshPeriod on.
	expiryAge = 1200 * time.Millisecond
	// smoothingPeriod is the time over which the reports of one service are averaged. Each of its targets has its own threshold,
	// and without averaging the table would follow the target that responded last.
	smoothingPeriod = 300 * time.Millisecond
	// minReportWeight is the lowest weight of a new report in the average.
	minReportWeight = 0.1
	// snapDistance is the difference up to which a report replaces the average, so that the average can reach zero.
	snapDistance = 16
	// probeShare is the share of requests below a threshold that are admitted as probes, and probeInterval the shortest time
	// between two probes of a service. The share keeps probes rare when there are many entry nodes, which all send their own, the
	// interval when the rate of requests is high.
	probeShare = 1.0 / 32
	// probeAfter is the age of a threshold from which probes are admitted. While admitted requests renew the threshold, a
	// probe provides no new information, and almost every probe wastes the work of the upstream hops.
	probeAfter    = 100 * time.Millisecond
	probeInterval = 50 * time.Millisecond
	// dependencyRetention is the time for which a route still depends on a service that its responses no longer name.
	dependencyRetention = time.Minute
	// minRetryAfter and maxRetryAfter bound the retry-after time of shed requests, before the random spread.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// retryGrowth is the share of the time since a service began to shed that is added to the retry-after time.
	retryGrowth = 0.25
	// maxServices and maxRoutes bound the memory that responses of a faulty peer can use.
	maxServices = 4096
	maxRoutes   = 16384
)

// Table holds the shedding thresholds of services and the services on which each route depends.
type Table struct {
	origin   time.Time
	random   func() float64 // in [0, 1); replaced by tests, safe for concurrent use
	services atomic.Pointer[map[string]*serviceEntry]
	routes   atomic.Pointer[map[routeKey]*route]
	mu       sync.Mutex // serialises changes to the maps
}

type routeKey struct{ service, route string }

// serviceEntry is the state of one service. Times are milliseconds since the table's origin, plus one, so that
// zero means never.
type serviceEntry struct {
	name          string
	packedState   atomic.Uint64 // time of the last report in the high 48 bits, threshold in the low 16
	overloadStart atomic.Int64  // start of the current overload
	lastProbe     atomic.Int64
}

// route holds the services on which a route depends.
type route struct {
	dependencies atomic.Pointer[[]*dependency]
}

type dependency struct {
	serviceEntry *serviceEntry
	lastSeen     atomic.Int64
}

// New returns an empty table, which admits everything.
func New() *Table {
	t := &Table{origin: time.Now(), random: rand.Float64}
	t.services.Store(&map[string]*serviceEntry{})
	t.routes.Store(&map[routeKey]*route{})
	return t
}

func (t *Table) now() int64 { return time.Since(t.origin).Milliseconds() + 1 }

// Learn records the thresholds that returned with a response to a request on a route of the called service. The route depends on
// every other service among them. Each node on the way of a response records its thresholds for the route on which that node has
// sent the request.
func (t *Table) Learn(service, routeName string, thresholds []message.Threshold) {
	now := t.now()
	for i := range thresholds {
		e := t.serviceEntry(thresholds[i].Service)
		if e == nil {
			continue
		}
		e.update(now, thresholds[i].Priority)
		if e.name != service {
			t.addDependency(routeKey{service, routeName}, e, now)
		}
	}
}

// serviceEntry returns the entry of a service and creates it if needed. It returns nil if the table is full.
func (t *Table) serviceEntry(service string) *serviceEntry {
	if e := (*t.services.Load())[service]; e != nil {
		return e
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	old := *t.services.Load()
	if e := old[service]; e != nil || len(old) >= maxServices {
		return e
	}
	next := maps.Clone(old)
	e := &serviceEntry{name: service}
	next[service] = e
	t.services.Store(&next)
	return e
}

// addDependency records that a route depends on a service.
func (t *Table) addDependency(key routeKey, e *serviceEntry, now int64) {
	if r := (*t.routes.Load())[key]; r != nil {
		for _, n := range *r.dependencies.Load() {
			if n.serviceEntry == e {
				n.lastSeen.Store(now)
				return
			}
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	n := &dependency{serviceEntry: e}
	n.lastSeen.Store(now)
	old := *t.routes.Load()
	if r := old[key]; r != nil {
		r.add(n, now)
		return
	}
	if len(old) >= maxRoutes {
		return
	}
	r := &route{}
	r.dependencies.Store(&[]*dependency{n})
	next := maps.Clone(old)
	next[key] = r
	t.routes.Store(&next)
}

// add appends a dependency and removes those that are no longer recent.
func (r *route) add(n *dependency, now int64) {
	var next []*dependency
	for _, o := range *r.dependencies.Load() {
		if o.serviceEntry != n.serviceEntry && o.recent(now) {
			next = append(next, o)
		}
	}
	next = append(next, n)
	r.dependencies.Store(&next)
}

func (n *dependency) recent(now int64) bool {
	return now-n.lastSeen.Load() <= dependencyRetention.Milliseconds()
}

// update averages a reported threshold into the state. The weight of a report grows with the time since the last one.
func (e *serviceEntry) update(now int64, p message.Priority) {
	for {
		old := e.packedState.Load()
		last, have := int64(old>>16), message.Priority(old)
		if old != 0 && last >= now && have == p {
			return
		}
		smoothed := p
		if age := now - last; old != 0 && age < smoothingPeriod.Milliseconds() {
			weight := max(minReportWeight, float64(age)/float64(smoothingPeriod.Milliseconds()))
			if d := int(p) - int(have); d > snapDistance || d < -snapDistance {
				smoothed = message.Priority(int(have) + int(float64(d)*weight))
			}
		}
		if e.packedState.CompareAndSwap(old, uint64(max(now, last))<<16|uint64(smoothed)) {
			if smoothed > 0 && (have == 0 || now-last >= expiryAge.Milliseconds()) {
				e.overloadStart.Store(now)
			}
			return
		}
	}
}

// threshold returns the current threshold. From the age freshPeriod on it falls linearly to zero, so that a service that recovered
// while nothing was sent to it receives requests again, those of the highest priorities first.
func (e *serviceEntry) threshold(now int64) message.Priority {
	packedState := e.packedState.Load()
	p := message.Priority(packedState)
	age := time.Duration(now-int64(packedState>>16)) * time.Millisecond
	switch {
	case age <= freshPeriod:
		return p
	case age >= expiryAge:
		return 0
	default:
		return message.Priority(float64(p) * float64(expiryAge-age) / float64(expiryAge-freshPeriod))
	}
}

// Admit reports whether a request of the given priority may be sent on a route of a service. If not, it returns the service that
// would refuse the request, or a call that results from it, and a randomised retry-after time.
func (t *Table) Admit(service, routeName string, p message.Priority) (ok bool, blocking string, retryAfter time.Duration) {
	now := t.now()
	var top *serviceEntry
	var highest message.Priority
	if e := (*t.services.Load())[service]; e != nil {
		if th := e.threshold(now); th > p {
			top, highest = e, th
		}
	}
	if r := (*t.routes.Load())[routeKey{service, routeName}]; r != nil {
		for _, n := range *r.dependencies.Load() {
			if th := n.serviceEntry.threshold(now); th > p && th > highest && n.recent(now) {
				top, highest = n.serviceEntry, th
			}
		}
	}
	if top == nil || t.admitProbe(top, now) {
		return true, "", 0
	}
	return false, top.name, t.retryAfter(top, now)
}

// admitProbe reports whether a request below the threshold of the service is admitted as a probe, whose response renews the
// threshold.
func (t *Table) admitProbe(e *serviceEntry, now int64) bool {
	if now-int64(e.packedState.Load()>>16) < probeAfter.Milliseconds() {
		return false
	}
	last := e.lastProbe.Load()
	if now-last < probeInterval.Milliseconds() || t.random() >= probeShare {
		return false
	}
	return e.lastProbe.CompareAndSwap(last, now)
}

// retryAfter returns a randomised retry-after time, which grows with the duration of the overload.
func (t *Table) retryAfter(e *serviceEntry, now int64) time.Duration {
	lasted := time.Duration(now-e.overloadStart.Load()) * time.Millisecond
	after := min(float64(minRetryAfter)+retryGrowth*float64(lasted), float64(maxRetryAfter))
	return time.Duration(after * (0.5 + t.random()))
}

// Current returns the thresholds of the services on which a route depends, except its own service, in the form in which a
// response carries them. Thresholds of zero are included, because they end the shedding at the upstream hops at once. Thresholds
// older than freshPeriod are left out: the receiver would treat them as new, and ages would add up along a chain. Only tests call
// Current; the responses of nodes carry the thresholds of a Collector.
func (t *Table) Current(service, routeName string) []message.Threshold {
	r := (*t.routes.Load())[routeKey{service, routeName}]
	if r == nil {
		return nil
	}
	now := t.now()
	dependencies := *r.dependencies.Load()
	out := make([]message.Threshold, 0, len(dependencies))
	for _, n := range dependencies {
		packedState := n.serviceEntry.packedState.Load()
		if now-int64(packedState>>16) <= freshPeriod.Milliseconds() && n.recent(now) {
			out = append(out, message.Threshold{Service: n.serviceEntry.name, Priority: message.Priority(packedState)})
		}
	}
	return out
}
