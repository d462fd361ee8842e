package membership

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// simTick is the interval of ticks in a simulation, which is the default of a Runner.
	simTick = 50 * time.Millisecond
	// quietTick is a longer interval, which saves time in long phases without measurements.
	quietTick = 500 * time.Millisecond
	// maxBurst is the number of messages per member and second above which the simulation fails, because members then
	// answer each other endlessly.
	maxBurst = 1000
)

// simNode is one process of a simulation.
type simNode struct {
	*Machine
	address   string
	paused    bool
	killed    bool
	events    []Event
	sent      int
	sentBytes int
}

// simItem is a tick of node or, if node is nil, the delivery of msg.
type simItem struct {
	at   time.Time
	seq  int
	node *simNode
	from string
	to   string
	msg  *Message
}

type simHeap []simItem

func (h simHeap) Len() int { return len(h) }
func (h simHeap) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || h[i].at.Equal(h[j].at) && h[i].seq < h[j].seq
}
func (h simHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *simHeap) Push(x any)   { *h = append(*h, x.(simItem)) }
func (h *simHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// sim runs machines in virtual time over a network with delays, losses and partitions.
type sim struct {
	cfg       Config
	rng       *rand.Rand
	seed      uint64
	now       time.Time
	seq       int
	tick      time.Duration
	queue     simHeap
	nodes     []*simNode            // all processes, including killed ones
	processes map[string][]*simNode // processes by address; more than one after a replacement
	zoneOf    map[string]zoneKey
	loss      float64
	cut       func(from, to string) bool
	measure   bool // count encoded bytes
	window    time.Time
	burst     int // messages since window
}

func newSim(seed uint64, cfg Config) *sim {
	return &sim{
		cfg: cfg, rng: rand.New(rand.NewPCG(seed, 1)), seed: seed, tick: simTick, now: time.Unix(1_800_000_000, 0),
		processes: map[string][]*simNode{}, zoneOf: map[string]zoneKey{},
	}
}

// simZone returns the zone of the i-th member: nine availability zones in four regions, as docs/design.md expects.
func simZone(i int) zoneKey {
	z := i % 9
	return zoneKey{fmt.Sprintf("region-%d", z*4/9), fmt.Sprintf("zone-%d", z)}
}

var simAddresses = func() (a [5000]string) {
	for i := range a {
		a[i] = fmt.Sprintf("10.%d.%d.%d:7400", i%9, i/250, i%250)
	}
	return a
}()

func simAddress(i int) string { return simAddresses[i] }

// start adds a process at the address of the i-th member, whose clock deviates from the simulated time by clock.
func (s *sim) start(i int, clock time.Duration, seeds ...string) *simNode {
	a, k := simAddress(i), simZone(i)
	m := New(s.cfg, Member{
		Address: a, Caller: fmt.Sprintf("10.%d.%d.%d:8000", i%9, i/250, i%250), Instance: s.rng.Uint64(), Zone: k.zone,
		Region: k.region, Incarnation: uint64(s.now.Add(clock).UnixMilli()),
	}, s.rng.Uint64(), s.now)
	n := &simNode{Machine: m, address: a}
	s.nodes = append(s.nodes, n)
	s.processes[a] = append(s.processes[a], n)
	s.zoneOf[a] = k
	m.Join(s.now, seeds)
	m.Announce(s.now, Target{Service: fmt.Sprintf("service-%d", i%390), Slots: 40, State: Ready})
	s.collect(n)
	s.push(simItem{at: s.now.Add(time.Duration(s.rng.Int64N(int64(simTick)))), node: n})
	return n
}

// cluster starts n members that know each other, without running the joins.
func (s *sim) cluster(n int) {
	for i := range n {
		s.start(i, 0)
	}
	records := make([]Update, n)
	for i, p := range s.nodes {
		p.activate()
		p.markSynced()
		records[i] = p.self.full()
	}
	for _, p := range s.nodes {
		for i := range records {
			p.apply(&records[i], "", true)
		}
		p.pendingOrder = p.pendingOrder[:0]
		clear(p.pending)
		p.Take()
	}
}

func (s *sim) push(it simItem) {
	s.seq++
	it.seq = s.seq
	heap.Push(&s.queue, it)
}

func (s *sim) delay(from, to string) time.Duration {
	a, b := s.zoneOf[from], s.zoneOf[to]
	d := 200 * time.Microsecond
	switch {
	case a.region != b.region:
		d = 40 * time.Millisecond
	case a.zone != b.zone:
		d = 500 * time.Microsecond
	}
	return d + time.Duration(s.rng.Int64N(int64(d)))
}

func (s *sim) collect(n *simNode) {
	out, events := n.Take()
	n.events = append(n.events, events...)
	if s.now.Sub(s.window) >= time.Second {
		s.window, s.burst = s.now, 0
	}
	s.burst += len(out)
	if s.burst > maxBurst*len(s.nodes) {
		panic(fmt.Sprintf("seed %d: endless messages, the last from %s to %+v", s.seed, n.address, out))
	}
	for _, e := range out {
		n.sent++
		if s.measure {
			b, err := e.Message.Encode()
			if err != nil {
				panic(err)
			}
			n.sentBytes += len(b)
		}
		if s.loss > 0 && s.rng.Float64() < s.loss || s.cut != nil && s.cut(n.address, e.To) {
			continue
		}
		s.push(simItem{at: s.now.Add(s.delay(n.address, e.To)), from: n.address, to: e.To, msg: e.Message})
	}
}

// run advances the virtual time by d, or until done returns true, which it reports.
func (s *sim) run(d time.Duration, done func() bool) bool {
	end := s.now.Add(d)
	check := s.now
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		it := heap.Pop(&s.queue).(simItem)
		s.now = it.at
		if it.node != nil {
			if !it.node.killed {
				s.push(simItem{at: it.at.Add(s.tick), node: it.node})
				if !it.node.paused {
					it.node.Tick(s.now)
					s.collect(it.node)
				}
			}
		} else {
			for _, n := range s.processes[it.to] {
				if !n.killed && !n.paused {
					n.Receive(s.now, it.from, it.msg)
					s.collect(n)
				}
			}
		}
		if done != nil && !s.now.Before(check) {
			if done() {
				return true
			}
			check = s.now.Add(simTick)
		}
	}
	s.now = end
	return done != nil && done()
}

// runCoarse advances the virtual time by d with ticks every quietTick.
func (s *sim) runCoarse(d time.Duration) {
	s.tick = quietTick
	s.run(d, nil)
	s.tick = simTick
}

// running returns the processes that are not killed or paused and have not left or been replaced.
func (s *sim) running() []*simNode {
	var out []*simNode
	for _, n := range s.nodes {
		if !n.killed && !n.paused && n.status != StatusReplaced && n.status != StatusLeft {
			out = append(out, n)
		}
	}
	return out
}

// all reports whether ok accepts the state of the member in the view of every other running process.
func (s *sim) all(address string, ok func(State) bool) bool {
	for _, n := range s.running() {
		if n.address == address {
			continue
		}
		if e, _ := n.Member(address); !ok(e.State) {
			return false
		}
	}
	return true
}

// agree reports whether all running processes are active and have the same view, in which the live members are exactly
// the running processes and none is suspect.
func (s *sim) agree() bool {
	nodes := s.running()
	hash := nodes[0].viewHash()
	for _, n := range nodes {
		if n.status != StatusActive || n.viewHash() != hash || n.graph.size != len(nodes) || len(n.suspects) != 0 {
			return false
		}
	}
	return true
}

func (s *sim) count(k EventKind, of string) int {
	c := 0
	for _, n := range s.nodes {
		for _, e := range n.events {
			if e.Kind == k && (of == "" || e.Member.Address == of) {
				c++
			}
		}
	}
	return c
}

func (s *sim) require(t testing.TB, ok bool, what string) {
	t.Helper()
	require.True(t, ok, "seed %d at %v: %s", s.seed, s.now.Sub(time.Unix(1_800_000_000, 0)), what)
}

func oneOf(states ...State) func(State) bool {
	return func(s State) bool { return slices.Contains(states, s) }
}
