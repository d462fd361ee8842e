package quota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

const simStep = 10 * time.Millisecond

// simNode is one VM of the simulation.
type simNode struct {
	address     string
	node        *Node
	zone        int
	group       int // nodes of different groups do not reach each other
	frozenUntil time.Duration
	deadUntil   time.Duration
	inbox       []simMessage
	sentBytes   int
	sentCount   int
	received    int
	gotBytes    int
}

type simMessage struct {
	from string
	at   time.Duration
	body []byte
	m    Message
}

// simulation plays nodes, links and callers in virtual time. Directories notice within 500 ms what can be reached.
type simulation struct {
	t       *testing.T
	rnd     *rand.Rand
	now     time.Duration
	nodes   []*simNode
	byName  map[string]*simNode
	limits  map[string]Limit
	demand  func(org string, node *simNode) float64 // requests per second
	admit   map[string][]time.Duration
	arrived map[string]int
	refused map[string]int
	state   []int // of the nodes when the directories were last updated: the group, or -1 if it is down
	bounds  Bounds
	encode  bool // messages are encoded, so that their bytes can be counted
}

func newSimulation(t *testing.T, nodes int, limits map[string]Limit, seed uint64) *simulation {
	s := &simulation{
		t: t, rnd: rand.New(rand.NewPCG(seed, 1)), byName: map[string]*simNode{}, limits: limits,
		admit: map[string][]time.Duration{}, arrived: map[string]int{}, refused: map[string]int{}, bounds: DefaultBounds(),
		now: time.Minute,
	}
	for i := range nodes {
		v := &simNode{address: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250), zone: i % 4}
		s.nodes, s.byName[v.address] = append(s.nodes, v), v
		s.boot(v, s.now-s.bounds.Window) // nothing is left of earlier processes
	}
	return s
}

// boot starts a process that has run since the given time.
func (s *simulation) boot(v *simNode, since time.Duration) {
	v.node = New(v.address, s.bounds, since)
	v.node.rand = s.rnd.Float64
	v.node.SetLimits(func() map[string]Limit { return s.limits }, s.now)
	v.inbox = nil
	s.setMembers(v)
}

func (s *simulation) up(v *simNode) bool { return s.now >= v.deadUntil && s.now >= v.frozenUntil }

func (s *simulation) setMembers(v *simNode) {
	var list []string
	for _, o := range s.nodes {
		if o != v && o.group == v.group && s.now >= o.deadUntil && s.now >= o.frozenUntil {
			list = append(list, o.address)
		}
	}
	v.node.SetMembers(list, len(s.nodes))
}

// refreshMembers updates the directories if what can be reached has changed.
func (s *simulation) refreshMembers() {
	state := make([]int, len(s.nodes))
	for i, v := range s.nodes {
		if state[i] = v.group; !s.up(v) {
			state[i] = -1
		}
	}
	if slices.Equal(state, s.state) {
		return
	}
	s.state = state
	for _, v := range s.nodes {
		if s.up(v) {
			s.setMembers(v)
		}
	}
}

func (s *simulation) send(v *simNode, out []Outgoing) {
	for _, o := range out {
		to := s.byName[o.To]
		m := simMessage{from: v.address, at: s.now + time.Duration(1+s.rnd.IntN(5))*time.Millisecond, m: o.Message}
		if s.encode {
			m.body, _ = cbor.Marshal(o.Message)
			v.sentBytes, v.sentCount = v.sentBytes+len(m.body), v.sentCount+1
		}
		if to.group == v.group && s.now >= to.deadUntil {
			to.inbox = append(to.inbox, m)
		}
	}
}

// run plays the given time. The hook is called before each step.
func (s *simulation) run(d time.Duration, hook func()) {
	names := make([]string, 0, len(s.limits))
	for name := range s.limits {
		names = append(names, name)
	}
	sort.Strings(names)
	for end := s.now + d; s.now < end; s.now += simStep {
		if hook != nil {
			hook()
		}
		if s.now%(500*time.Millisecond) == 0 {
			s.refreshMembers()
		}
		for i, v := range s.nodes {
			if !s.up(v) {
				continue
			}
			inbox := v.inbox
			v.inbox = nil
			for _, m := range inbox {
				if m.body != nil {
					v.received, v.gotBytes = v.received+1, v.gotBytes+len(m.body)
					var decoded Message
					if err := cbor.Unmarshal(m.body, &decoded); err != nil {
						s.t.Fatal(err)
					}
					m.m = decoded
				}
				s.send(v, v.node.Receive(m.from, m.m, s.now))
			}
			if (s.now+time.Duration(i)*simStep)%TickInterval == 0 {
				s.send(v, v.node.Tick(s.now))
			}
		}
		for _, name := range names {
			s.arrive(name)
		}
	}
}

// arrive sends the requests of one organisation in one step. Requests to a node that is down or frozen are lost. Demand differs between
// zones only, which the first nodes stand for.
func (s *simulation) arrive(name string) {
	most := 0.0
	for _, v := range s.nodes[:4] {
		most = max(most, s.demand(name, v))
	}
	for range s.poisson(most * float64(len(s.nodes)) * simStep.Seconds()) {
		v := s.nodes[s.rnd.IntN(len(s.nodes))]
		if s.rnd.Float64()*most >= s.demand(name, v) || !s.up(v) {
			continue
		}
		s.arrived[name]++
		if ok, _ := v.node.Admit(name, s.now); ok {
			s.admit[name] = append(s.admit[name], s.now)
		} else {
			s.refused[name]++
		}
	}
}

func (s *simulation) poisson(mean float64) int {
	if mean <= 0 {
		return 0
	}
	if half := 20.0; mean > half {
		return s.poisson(half) + s.poisson(mean-half)
	}
	n, p, limit := 0, s.rnd.Float64(), math.Exp(-mean)
	for p > limit {
		n++
		p *= s.rnd.Float64()
	}
	return n
}

// worst returns the largest number of admissions of an organisation in a window, as a share of the bound.
func (s *simulation) worst() (worst float64, name string) {
	for org, times := range s.admit {
		l := s.limits[org]
		bound := (l.Rate*s.bounds.Window.Seconds()+l.Burst)*(1+s.bounds.Over) + s.bounds.Slack
		first := 0
		for i, at := range times {
			for at-times[first] > s.bounds.Window {
				first++
			}
			if share := float64(i-first+1) / bound; share > worst {
				worst, name = share, org
			}
		}
	}
	return worst, name
}

func (s *simulation) requireBound() {
	s.t.Helper()
	worst, name := s.worst()
	s.t.Logf("fullest window: %.3f of the bound, %s with %v/s", worst, name, s.limits[name].Rate)
	if worst > 1 {
		s.t.Errorf("%s: %.3f of the bound were admitted in a window", name, worst)
	}
}

// requireRefused fails if more than the share of the requests were refused, of organisations other than the given ones.
func (s *simulation) requireRefused(share float64, except ...string) {
	s.t.Helper()
	arrived, refused := 0, 0
	worstOrg, worst := "", 0.0
	for name, n := range s.arrived {
		skip := false
		for _, e := range except {
			skip = skip || e == name
		}
		if skip {
			continue
		}
		arrived, refused = arrived+n, refused+s.refused[name]
		if r := float64(s.refused[name]); r > worst {
			worst, worstOrg = r, name
		}
	}
	s.t.Logf("refused %d of %d within the quota (most: %s, %v)", refused, arrived, worstOrg, worst)
	if float64(refused) > share*float64(arrived) {
		s.t.Errorf("refused %d of %d requests within the quota", refused, arrived)
	}
}

// organisations returns quotas of 1.6 times a demand of the given total, distributed like 1/rank^1.2.
func organisations(n int, total float64) (limits map[string]Limit, demand map[string]float64) {
	limits, demand = map[string]Limit{}, map[string]float64{}
	sum := 0.0
	for i := range n {
		sum += math.Pow(float64(i+1), -1.2)
	}
	for i := range n {
		d := total * math.Pow(float64(i+1), -1.2) / sum
		name := orgName(i)
		limits[name], demand[name] = Limit{Rate: 1.6 * d, Burst: 1.6 * d}, d
	}
	return limits, demand
}

func orgName(i int) string { return fmt.Sprintf("org-%02d", i) }
