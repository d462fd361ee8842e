package membership

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// build returns a graph of n members, and the zone of each.
func build(n int, place func(i int) zoneKey) (*graph, map[string]zoneKey) {
	g, places := newGraph(), map[string]zoneKey{}
	for i := range n {
		a := simAddress(i)
		places[a] = place(i)
		g.add(places[a], point{hashAddress(a), a})
	}
	return g, places
}

// allNeighbours returns the neighbours of every member.
func allNeighbours(g *graph, places map[string]zoneKey) map[string][]string {
	cfg := Config{}.withDefaults()
	out := make(map[string][]string, len(places))
	for a, k := range places {
		out[a] = g.neighbours(&cfg, k, point{hashAddress(a), a})
	}
	return out
}

// reachFrom returns the number of members that an update from the first one reaches, and the rounds of gossip it takes.
func reachFrom(near map[string][]string, first string) (reached, rounds int) {
	seen, last := map[string]bool{first: true}, []string{first}
	for {
		var next []string
		for _, a := range last {
			for _, b := range near[a] {
				if !seen[b] {
					seen[b] = true
					next = append(next, b)
				}
			}
		}
		if len(next) == 0 {
			return len(seen), rounds
		}
		last = next
		rounds++
	}
}

// Guards against layouts of zones and regions in which updates of some member do not reach all others, a member has too
// many neighbours, or a member is probed by too few.
func TestGraphIsConnected(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 120).Draw(t, "members")
		zones := rapid.IntRange(1, 9).Draw(t, "zones")
		regions := rapid.IntRange(1, 4).Draw(t, "regions")
		// A skew above 1 puts most members into the last zone.
		skew := rapid.IntRange(1, 4).Draw(t, "skew")
		g, places := build(n, func(i int) zoneKey {
			z := min(i%(zones*skew), zones-1)
			return zoneKey{string(rune('a' + z%regions)), string(rune('a' + z))}
		})
		near := allNeighbours(g, places)
		probers := map[string]int{}
		for a, list := range near {
			require.NotContains(t, list, a)
			require.LessOrEqual(t, len(list), maxFullMesh+2)
			require.GreaterOrEqual(t, len(list), min(6, n-1))
			for _, b := range list {
				probers[b]++
			}
			reached, _ := reachFrom(near, a)
			require.Equal(t, n, reached, "updates of %s do not reach all members", a)
		}
		for a := range near {
			require.GreaterOrEqual(t, probers[a], min(2, n-1), "%s is probed by too few members", a)
		}
	})
}

// Guards against a graph of 2,300 members that is too deep for a leave to reach all within 3 s, that has members probed
// by one neighbour only, or in which many neighbours change when one member is removed.
func TestGraphAtFullSize(t *testing.T) {
	t.Parallel()
	const n = 2300
	g, places := build(n, simZone)
	near := allNeighbours(g, places)
	probers, local := map[string]int{}, 0
	for a, list := range near {
		for _, b := range list {
			probers[b]++
			if places[b] == places[a] {
				local++
			}
		}
	}
	fewest, most := n, 0
	for a := range near {
		fewest, most = min(fewest, probers[a]), max(most, probers[a])
	}
	require.GreaterOrEqual(t, fewest, 2)
	require.LessOrEqual(t, most, 40)
	require.Greater(t, local, n*6/2, "more than half of the neighbours must be in the own availability zone")
	deepest := 0
	for i := range 50 {
		reached, rounds := reachFrom(near, simAddress(i*46))
		require.Equal(t, n, reached)
		deepest = max(deepest, rounds)
	}
	t.Logf("each member is probed by %d to %d others; at most %d rounds", fewest, most, deepest)
	// A round takes at most one tick of batching plus 80 ms of latency between regions.
	require.LessOrEqual(t, deepest, 12)
	gone := simAddress(77)
	g.remove(places[gone], point{hashAddress(gone), gone})
	delete(places, gone)
	changed := 0
	for a, list := range allNeighbours(g, places) {
		for _, b := range list {
			if !slices.Contains(near[a], b) {
				changed++
			}
		}
	}
	require.LessOrEqual(t, changed, 2*most)
}
