package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against orders of kills, pauses, replacements, leaves, cuts and losses that bring back a dead member, lose a
// live one, move a record backwards, or leave two processes at one address that both count themselves as the member.
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
		seeds := simAddresses[:n] // as from the table; a node whose seeds are all gone cannot join
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
				// A process that was never a member cannot tell its predecessor from its replacement. It ends with its VM.
				x.killed = x.killed || x.status == StatusJoining
				x.paused = true
				// No VM is replaced within seconds. If it were, the last statement of the old process could still be
				// on its way when the new one has joined, and would look like that of a replacement.
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
			// While the latest process was paused, an earlier one may have resumed and taken the address over. Settling has
			// checked that one process at most is a member there.
			serves := x.status == StatusActive
			for _, p := range s.processes[x.address] {
				serves = serves || paused[x] && p.status == StatusActive
			}
			require.True(t, serves, "a live member was removed: %s", x.address)
		}
	})
}

// settle runs until all views agree. Members that died long ago are redialled every half minute only.
func (s *sim) settle(t require.TestingT) {
	// A node that hears nobody cannot tell the death of all others from its own isolation, so that a single one that is
	// left has nothing to agree on.
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

func (s *sim) describe() string {
	out := ""
	for _, n := range s.running() {
		out += fmt.Sprintf("\n%s %v inc %d size %d:", n.address, n.status, n.self.Incarnation%1e6, n.graph.size)
		for _, a := range sortedKeys(n.members) {
			e := n.members[a]
			out += fmt.Sprintf(" %s=%v/%d", a, e.State, e.Incarnation%1e6)
		}
	}
	return out
}

// checkOrder checks that no record moved backwards at any observer.
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
