package rollout

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkCost measures in virtual time what the scheme costs per node and second with 9 availability zones, with and
// without the platform, and what a change costs and how long it takes until every node runs it.
//
//	go test -run ^$ -bench Cost -benchtime 1x ./internal/version/rollout
func BenchmarkCost(b *testing.B) {
	for _, perZone := range []int{6, 11, 22, 44, 89} {
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

// BenchmarkTick measures the processor time of one node at the size of the design page: a second has ten ticks, two views
// of the members and one rebuild. b.N counts seconds.
func BenchmarkTick(b *testing.B) {
	m := New(Config{Address: "n0", Zone: "z0", Epoch: 1}, 0)
	var view []Member
	for i := range 2300 {
		view = append(view, Member{Address: fmt.Sprint("n", i), Zone: fmt.Sprint("z", i%9)})
	}
	now := Time(0)
	for b.Loop() {
		for i := range 10 {
			now += 100 * time.Millisecond
			if i%5 == 0 {
				for j := range view {
					view[j].LastHeard = now
				}
				m.SetMembers(now, view)
			}
			m.Tick(now)
			m.Output()
		}
	}
}
