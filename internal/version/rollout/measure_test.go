package rollout

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkCost measures in virtual time, with 9 availability zones: the messages and bytes per node and second, with and
// without the platform; the messages and bytes of a change; and the time until every node runs the changed version.
//
//	go test -run ^$ -bench Cost -benchtime 1x ./internal/version/rollout
func BenchmarkCost(b *testing.B) {
	for _, perZone := range []int{6, 11, 22, 44, 89, 256} {
		b.Run(fmt.Sprintf("members=%d", 9*perZone), func(b *testing.B) {
			for range b.N {
				measure(b, perZone)
			}
		})
	}
}

func measure(b *testing.B, perZone int) {
	const zones, window = 9, 10 * time.Second
	s := newSim(1, zones, perZone)
	n := float64(len(s.nodes))
	s.latency = func(from, to *simNode) time.Duration {
		if from.zone == to.zone {
			return 200 * time.Microsecond
		}
		return 500 * time.Microsecond
	}
	s.run(4 * time.Second)
	s.submit(s.nodes[0], s.change("a", "ann", 0))
	s.run(4 * time.Second)
	sample := func(name string, seconds float64) {
		b.ReportMetric(float64(s.messages)/n/seconds, name+"-msg/node/s")
		b.ReportMetric(float64(s.bytes)/n/seconds, name+"-B/node/s")
		b.ReportMetric(float64(s.reads)/seconds, name+"-reads/s")
	}
	reset := func() { s.messages, s.bytes, s.reads = 0, 0, 0 }

	reset()
	s.run(window)
	sample("steady", window.Seconds())
	steady := float64(s.messages) / window.Seconds()
	steadyBytes := float64(s.bytes) / window.Seconds()
	var oldest time.Duration
	for range 100 {
		s.run(50 * time.Millisecond)
		for _, o := range s.nodes {
			at, _ := o.m.evidence(s.now + o.skew)
			oldest = max(oldest, s.now+o.skew-at)
		}
	}
	b.ReportMetric(oldest.Seconds(), "oldest-evidence-s")

	reset()
	began := s.now
	s.submit(s.nodes[0], s.change("b", "ann", 1))
	for everyone := false; !everyone && s.now-began < 10*time.Second; {
		s.run(5 * time.Millisecond)
		everyone = true
		for _, o := range s.nodes {
			everyone = everyone && o.m.Version() == 2
		}
	}
	b.ReportMetric((s.now - began).Seconds(), "change-effect-s")
	s.run(began + 2*time.Second - s.now)
	b.ReportMetric((float64(s.messages)-2*steady)/n, "change-msg/node")
	b.ReportMetric((float64(s.bytes)-2*steadyBytes)/n, "change-B/node")

	s.down = true
	s.run(5 * time.Second)
	reset()
	s.run(window)
	sample("outage", window.Seconds())
	lost := 0
	oldest = 0
	for range 60 {
		s.run(50 * time.Millisecond)
		for _, o := range s.nodes {
			at, _ := o.m.evidence(s.now + o.skew)
			oldest = max(oldest, s.now+o.skew-at)
		}
	}
	b.ReportMetric(oldest.Seconds(), "outage-oldest-evidence-s")
	for _, o := range s.nodes {
		if !o.m.Confirmed(s.now + o.skew) {
			lost++
		}
	}
	b.ReportMetric(float64(lost), "outage-unconfirmed")
}

// BenchmarkTick measures the processor time of one node without messages. An iteration is a second with ten ticks, in which
// the node reads the view of the members twice. The view changes at the given interval: one member stops being alive, or is
// alive again. With 510 restarts a day and four changes of the view for each, the view changes every 42 s on average. The
// interval of 10 s is several times as often.
func BenchmarkTick(b *testing.B) {
	for _, members := range []int{50, 396, 2300} {
		for _, every := range []int{10, 1} {
			b.Run(fmt.Sprintf("members=%d/change=%ds", members, every), func(b *testing.B) {
				s := newTickLoad(members)
				for b.Loop() {
					s.run(every)
				}
			})
		}
	}
}

// tickLoad runs one machine that gets no messages, second by second.
type tickLoad struct {
	m    *Machine
	view []Member
	now  Time
	n    int
}

func newTickLoad(members int) *tickLoad {
	s := &tickLoad{m: New(Config{Address: "n0", Zone: "z0", Epoch: 1}, 0)}
	for i := range members {
		s.view = append(s.view, Member{Address: fmt.Sprint("n", i), Zone: fmt.Sprint("z", i%9), Alive: true})
	}
	s.m.SetMembers(0, s.view)
	return s
}

func (s *tickLoad) run(every int) {
	s.n++
	for i := range 10 {
		s.now += 100 * time.Millisecond
		switch {
		case i == 0 && s.n%every == 0:
			s.view[1].Alive = !s.view[1].Alive
			s.m.SetMembers(s.now, s.view)
		case i%5 == 0:
			s.m.Refresh(s.now)
		}
		s.m.Tick(s.now)
		s.m.Output()
	}
}
