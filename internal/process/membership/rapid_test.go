package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against sequences of kills, pauses, replacements, leaves, partitions and message losses after which a dead
// member is resurrected, a live one is lost, a record has moved backwards, or two processes at one address are both
// active.
func TestRandomFailures(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(rapid.Uint64Range(0, 1<<20).Draw(t, "seed"), Config{})
		n := rapid.IntRange(3, 14).Draw(t, "members")
		s.cluster(n)
		s.run(time.Second, nil)
		latest := make([]*simNode, n) // process of each address that should be the member
		copy(latest, s.nodes)
		paused := map[*simNode]bool{}
		// All addresses are seeds, as if read from the table of registrations. A node with no running seed cannot join.
		seeds := simAddresses[:n]
		for range rapid.IntRange(1, 8).Draw(t, "steps") {
			i := rapid.IntRange(0, n-1).Draw(t, "member")
			x := latest[i]
			switch rapid.SampledFrom([]string{"kill", "pause", "resume", "replace", "leave", "cut", "heal", "lose"}).Draw(t, "step") {
			case "kill":
				x.killed = true
			case "pause":
				x.paused, paused[x] = true, true
			case "resume":
				for _, p := range s.processes[x.address] {
					p.paused = false
				}
			case "replace":
				// A process that was never a member cannot tell its predecessor from its replacement, so it is killed:
				// its VM has ended.
				x.killed = x.killed || x.status == StatusJoining
				x.paused = true
				// VMs are not replaced within seconds. Otherwise the last statement of the old process could still be
				// in transit when the new one has joined, and would look like that of a replacement.
				s.run(3*time.Second, nil)
				behind := time.Duration(rapid.IntRange(-1, 1).Draw(t, "clock")) * time.Hour
				latest[i] = s.start(i, behind, seeds...)
			case "leave":
				if !x.killed && !x.paused {
					x.Leave(s.now)
					s.collect(x)
				}
			case "cut":
				half := rapid.IntRange(1, n).Draw(t, "inside")
				inside := map[string]bool{}
				for j := range half {
					inside[simAddress(j)] = true
				}
				s.cut = isolate(func(a string) bool { return inside[a] })
			case "heal":
				s.cut = nil
			case "lose":
				s.loss = 0.05
			}
			s.run(time.Duration(rapid.IntRange(0, 20_000).Draw(t, "ms"))*time.Millisecond, nil)
		}
		s.cut, s.loss = nil, 0
		for _, p := range s.nodes {
			p.paused = false
		}
		s.settle(t)
		checkOrder(t, s)
		for _, x := range latest {
			if x.killed || x.status == StatusLeft || s.liveAddresses() < 2 {
				continue
			}
			// While the latest process was paused, an earlier one may have resumed and taken over the address. settle
			// has checked that at most one process is a member there.
			serves := x.status == StatusActive
			for _, p := range s.processes[x.address] {
				serves = serves || paused[x] && p.status == StatusActive
			}
			require.True(t, serves, "a live member was removed: %s", x.address)
		}
	})
}

// settle runs until all views agree. It allows minutes, since dead members are redialled only every 30 s.
func (s *sim) settle(t require.TestingT) {
	// A node that receives no messages cannot distinguish the death of all others from its own isolation, so agreement
	// is not checked if only one address is left.
	s.tick = quietTick / 2
	settled := func() bool { return s.liveAddresses() < 2 || s.agree() }
	require.True(t, s.run(6*time.Minute, settled), "views differ: %s", s.describe())
}

// liveAddresses returns the number of addresses with a running process.
func (s *sim) liveAddresses() int {
	at := map[string]bool{}
	for _, n := range s.running() {
		at[n.address] = true
	}
	return len(at)
}

// describe returns the views of all running processes, with the last six digits of the incarnations.
func (s *sim) describe() string {
	out := ""
	for _, n := range s.running() {
		out += fmt.Sprintf("\n%s %v, incarnation %d, %d live members:", n.address, n.status, n.self.Incarnation%1e6, n.graph.size)
		for _, a := range sortedKeys(n.members) {
			e := n.members[a]
			out += fmt.Sprintf(" %s=%v/%d", a, e.State, e.Incarnation%1e6)
		}
	}
	return out
}

// checkOrder checks that no record moved backwards in the events of any node.
func checkOrder(t require.TestingT, s *sim) {
	for _, n := range s.nodes {
		last := map[string]Member{}
		for _, e := range n.events {
			switch e.Kind {
			case SelfChanged, SelfRefuted:
			case MemberRemoved:
				delete(last, e.Member.Address)
			default:
				was := last[e.Member.Address]
				u := e.Member.brief()
				require.Positive(t, compare(&u, &was), "%s: record moved from %v at %d to %v at %d", n.address,
					was.State, was.Incarnation, e.Member.State, e.Member.Incarnation)
				last[e.Member.Address] = e.Member
			}
		}
	}
}
