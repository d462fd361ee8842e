package membership

import (
	"flag"
	"fmt"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var capacitySizes = flag.String("capacity", "50", "numbers of members for TestCapacity, separated by commas")

// maxControlTraffic is the limit for the control traffic of a node, sent and received, in bytes per second. Nothing
// enforces it at run time.
const maxControlTraffic = 4000

// TestCapacity prints the figures of docs/capacity-membership.md for the sizes given by the flag. Guards against
// steady-state traffic above maxControlTraffic at any member.
func TestCapacity(t *testing.T) {
	for _, f := range strings.Split(*capacitySizes, ",") {
		n, err := strconv.Atoi(f)
		require.NoError(t, err)
		require.LessOrEqual(t, 2*measureSize(n), float64(maxControlTraffic), "%d members", n)
		runtime.GC()
	}
}

type traffic struct{ messages, bytes int }

func (s *sim) traffic() (total, most traffic) {
	for _, n := range s.nodes {
		total.messages += n.sent
		total.bytes += n.sentBytes
		if n.sentBytes > most.bytes {
			most = traffic{n.sent, n.sentBytes}
		}
		n.sent, n.sentBytes = 0, 0
	}
	return total, most
}

// measureSize prints the traffic of n members in the steady state and per change. It returns the bytes per second that
// the busiest one sends in the steady state.
func measureSize(n int) float64 {
	s := newSim(uint64(n), Config{})
	s.cluster(n)
	s.measure = true
	s.run(5*time.Second, nil)
	s.traffic()
	const steadySeconds = 30
	s.run(steadySeconds*time.Second, nil)
	quiet, most := s.traffic()
	perSecond := float64(quiet.bytes) / steadySeconds
	fmt.Printf("n=%d rest: %.2f messages and %.1f bytes per member and second (busiest member %.1f)\n",
		n, float64(quiet.messages)/steadySeconds/float64(n), perSecond/float64(n), float64(most.bytes)/steadySeconds)

	// change measures the traffic during d after calling f, minus the steady-state traffic.
	change := func(name string, d time.Duration, f func(), known func() bool) {
		start := s.now
		f()
		s.run(d, known)
		took := s.now.Sub(start)
		s.run(d-took, nil)
		total, most := s.traffic()
		extra := float64(total.bytes) - perSecond*d.Seconds()
		fmt.Printf("n=%d %s: known by all after %v, %.0f bytes per member (busiest member %d in %v)\n",
			n, name, took.Round(time.Millisecond), extra/float64(n), most.bytes, d)
	}
	leaver := s.nodes[n/2]
	rounds := s.rounds(leaver)
	change(fmt.Sprintf("leave (%d rounds)", rounds), 10*time.Second, func() {
		leaver.Leave(s.now)
		s.collect(leaver)
	}, func() bool { return s.all(leaver.address, oneOf(Left)) })
	leaver.killed = true
	change("join of a replacement", 10*time.Second, func() { s.start(n/2, -time.Hour, simAddress(1), simAddress(2)) },
		func() bool { return s.all(leaver.address, oneOf(Ready)) })
	drainer := s.nodes[n/3]
	change("change of state", 10*time.Second, func() {
		drainer.Announce(s.now, Target{drainer.self.Service, drainer.self.Slots, Draining})
		s.collect(drainer)
	}, func() bool { return s.all(drainer.address, oneOf(Draining)) })
	victim := s.nodes[n/4]
	change("failure", 30*time.Second, func() { victim.killed = true }, func() bool { return s.all(victim.address, oneOf(Dead)) })

	for _, x := range s.nodes {
		x.events = nil
	}
	s.loss = 0.01
	const lossySeconds = 60
	s.run(lossySeconds*time.Second, nil)
	// Each false death is an event at n-1 members.
	fmt.Printf("n=%d loss of 1 %%: %d false suspicions and %d false deaths in %d member-seconds\n", n,
		s.count(SelfRefuted, ""), s.count(MemberDied, "")/(n-1), lossySeconds*n)
	s.loss = 0
	s.traffic()
	deaths := s.count(MemberDied, "")
	s.cut = isolate(func(a string) bool { return s.zoneOf[a].zone == "zone-4" })
	change("cut of an availability zone", time.Minute, func() {}, func() bool { return s.separated("zone-4") })
	s.run(time.Minute, nil)
	s.traffic()
	deaths = s.count(MemberDied, "") - deaths
	s.cut = nil
	change("healing", time.Minute, func() {}, s.agree)
	// The members inside the availability zone (n/9) and those outside it should declare each other dead. The figure is
	// the number of deaths as a fraction of those. Above 1, deaths were also declared within a side, or repeatedly.
	fmt.Printf("n=%d cut: %.2f of the deaths that were right\n", n, float64(deaths)/float64(2*(n/9)*(n-n/9)))
	return float64(most.bytes) / steadySeconds
}

// separated reports whether no member of the availability zone considers a member outside it live, and vice versa.
func (s *sim) separated(zone string) bool {
	for _, n := range s.running() {
		for _, e := range n.members {
			if e.State.Live() && (e.Zone == zone) != (n.self.Zone == zone) {
				return false
			}
		}
	}
	return true
}

// rounds returns the number of rounds of gossip until an update from the member has reached all.
func (s *sim) rounds(from *simNode) int {
	near := map[string][]string{}
	for _, n := range s.nodes {
		near[n.address] = n.Neighbours()
	}
	_, rounds := reachFrom(near, from.address)
	return rounds
}

// joinAnswer returns the encoded messages of a complete answer to a join, from one of n members.
func joinAnswer(n int) [][]byte {
	s := newSim(1, Config{})
	first := s.start(0, 0)
	first.activate()
	var records []Update
	for i := 1; i < n; i++ {
		k := simZone(i)
		m := Member{
			Address: simAddress(i), Caller: simAddress(i), Instance: s.rng.Uint64(), Zone: k.zone, Region: k.region,
			Incarnation: uint64(s.now.UnixMilli()), Born: uint64(s.now.UnixMilli()), Meta: uint64(s.now.UnixMilli()),
			Service: fmt.Sprintf("service-%d", i%390), Slots: 40, State: Ready, Stated: Ready,
		}
		records = append(records, m.full())
	}
	first.Receive(s.now, simAddress(1), &Message{Kind: KindSync, Updates: records})
	first.Take()
	first.sendView(simAddress(4999), ^uint64(0), true) // the buckets that several members would send together
	out, _ := first.Take()
	var answer [][]byte
	for _, e := range out {
		if e.Message.Kind == KindSync {
			b, err := e.Message.Encode()
			if err != nil {
				panic(err)
			}
			answer = append(answer, b)
		}
	}
	return answer
}

// joinedMachine returns a machine that joined by decoding the answer.
func joinedMachine(tb testing.TB, answer [][]byte, now time.Time) *Machine {
	k := simZone(4990)
	m := New(Config{}, Member{Address: simAddress(4990), Zone: k.zone, Region: k.region}, 1, now)
	for _, b := range answer {
		msg, err := Decode(b)
		require.NoError(tb, err)
		m.Receive(now, simAddress(0), msg)
	}
	m.Take()
	require.Equal(tb, StatusActive, m.status)
	return m
}

var benchSizes = []int{200, 2300}

// bench runs f for each of benchSizes, with a machine that knows that number of members.
func bench(b *testing.B, f func(b *testing.B, m *Machine, now time.Time)) {
	for _, n := range benchSizes {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			now := time.Unix(1_800_000_000, 0)
			m := joinedMachine(b, joinAnswer(n), now)
			b.ReportAllocs()
			f(b, m, now)
		})
	}
}

func BenchmarkTick(b *testing.B) {
	bench(b, func(b *testing.B, m *Machine, now time.Time) {
		for b.Loop() {
			now = now.Add(simTick)
			m.lastHeard = now
			m.probes = m.probes[:0]
			m.Tick(now)
			m.Take()
		}
	})
}

// BenchmarkPing measures the most frequent message of the steady state: decode, answer, encode.
func BenchmarkPing(b *testing.B) {
	bench(b, func(b *testing.B, m *Machine, now time.Time) {
		peer, _ := m.Member(simAddress(3))
		payload, _ := (&Message{Kind: KindPing, Seq: 1, Incarnation: peer.Incarnation}).Encode()
		for b.Loop() {
			msg, _ := Decode(payload)
			m.Receive(now, peer.Address, msg)
			out, _ := m.Take()
			_, _ = out[0].Message.Encode()
		}
	})
}

// BenchmarkUpdate measures a new statement of a member: decode, apply, choose neighbours, encode for each of them.
func BenchmarkUpdate(b *testing.B) {
	bench(b, func(b *testing.B, m *Machine, now time.Time) {
		peer, _ := m.Member(simAddress(3))
		sender, _ := m.Member(simAddress(4))
		for b.Loop() {
			now = now.Add(m.cfg.BatchDelay)
			peer.Incarnation++
			payload, _ := (&Message{Kind: KindGossip, Incarnation: sender.Incarnation, Updates: []Update{peer.full()}}).Encode()
			msg, _ := Decode(payload)
			m.neighboursStale = true
			m.Receive(now, sender.Address, msg)
			out, _ := m.Take()
			for _, e := range out {
				_, _ = e.Message.Encode()
			}
		}
	})
}

// BenchmarkSnapshot measures building a snapshot.
func BenchmarkSnapshot(b *testing.B) {
	bench(b, func(b *testing.B, m *Machine, _ time.Time) {
		for b.Loop() {
			m.Snapshot()
		}
	})
}

// BenchmarkMemory reports the memory of a machine and one snapshot, per member.
func BenchmarkMemory(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			answer := joinAnswer(n)
			size := 0
			for _, p := range answer {
				size += len(p)
			}
			var keep []any
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			for b.Loop() {
				m := joinedMachine(b, answer, time.Unix(1_800_000_000, 0))
				keep = append(keep, m, m.Snapshot())
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			per := float64(after.HeapAlloc-before.HeapAlloc) / float64(len(keep)/2) / float64(n)
			b.ReportMetric(per, "heap-B/member")
			b.ReportMetric(float64(size)/float64(n), "join-B/member")
			runtime.KeepAlive(keep)
		})
	}
}
