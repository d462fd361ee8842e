package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxFullMesh is the number of other members up to which all of them are neighbours. A sparse graph saves nothing in a
// small cluster.
const maxFullMesh = 8

// point is the position of a member on the hash ring of its availability zone.
type point struct {
	hash    uint64
	address string
}

func comparePoints(a, b point) int {
	return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.address, b.address))
}

type zoneKey struct{ region, zone string }

func compareZones(a, b zoneKey) int {
	return cmp.Or(cmp.Compare(a.region, b.region), cmp.Compare(a.zone, b.zone))
}

// graph holds the live members on one hash ring per availability zone and chooses neighbours from them. The choice
// depends only on the set of live members, and adding or removing one member changes few neighbours.
type graph struct {
	zones     map[zoneKey][]point
	zoneOrder []zoneKey // sorted
	size      int
}

func newGraph() *graph { return &graph{zones: map[zoneKey][]point{}} }

func (g *graph) add(k zoneKey, p point) {
	ring, ok := g.zones[k]
	if !ok {
		i, _ := slices.BinarySearchFunc(g.zoneOrder, k, compareZones)
		g.zoneOrder = slices.Insert(g.zoneOrder, i, k)
	}
	i, found := slices.BinarySearchFunc(ring, p, comparePoints)
	if !found {
		g.zones[k] = slices.Insert(ring, i, p)
		g.size++
	}
}

func (g *graph) remove(k zoneKey, p point) {
	ring := g.zones[k]
	i, found := slices.BinarySearchFunc(ring, p, comparePoints)
	if !found {
		return
	}
	g.size--
	if len(ring) == 1 {
		delete(g.zones, k)
		j, _ := slices.BinarySearchFunc(g.zoneOrder, k, compareZones)
		g.zoneOrder = slices.Delete(g.zoneOrder, j, j+1)
		return
	}
	g.zones[k] = slices.Delete(ring, i, i+1)
}

// mix spreads a 64-bit value over all bits (the finalizer of splitmix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// neighbours returns the addresses that the member at self probes and updates. The member must be in the graph.
func (g *graph) neighbours(c *Config, k zoneKey, self point) []string {
	out := make([]string, 0, c.Successors+c.Shortcuts+c.OtherZones+c.OtherRegions)
	add := func(address string) bool {
		if address == self.address || slices.Contains(out, address) {
			return false
		}
		out = append(out, address)
		return true
	}
	if g.size <= maxFullMesh+1 {
		for _, z := range g.zoneOrder {
			for _, p := range g.zones[z] {
				add(p.address)
			}
		}
		return out
	}
	g.addSmallZones(self, add)
	zones, regions := g.followingZones(k)
	for i := range min(c.OtherZones, len(zones)) {
		add(g.successor(zones[i], self.hash))
	}
	for i := range min(c.OtherRegions, len(regions)) {
		regionZones := regions[i]
		add(g.successor(regionZones[mix(self.hash+uint64(i))%uint64(len(regionZones))], self.hash))
	}
	ring := g.zones[k]
	position, _ := slices.BinarySearchFunc(ring, self, comparePoints)
	for i, n := 1, 0; i < len(ring) && n < c.Successors; i++ {
		if add(ring[(position+i)%len(ring)].address) {
			n++
		}
	}
	total := c.Successors + c.Shortcuts + c.OtherZones + c.OtherRegions
	g.addShortcuts(ring, self, total, add, &out)
	// A zone with few members does not provide enough neighbours; the rest comes from pseudo-randomly chosen zones.
	for i := uint64(1); len(out) < min(total, g.size-1) && i < 64; i++ {
		z := g.zoneOrder[mix(self.hash+i)%uint64(len(g.zoneOrder))]
		add(g.successor(z, mix(self.hash^i)))
	}
	return out
}

// minRingSize is the size below which the ring of an availability zone does not give each member two others that probe
// it.
const minRingSize = 3

// addSmallZones adds those members of small availability zones that are among the two members after self on a ring of
// all members, so that each member of a small zone is probed by two others.
func (g *graph) addSmallZones(self point, add func(string) bool) {
	for _, z := range g.zoneOrder {
		ring := g.zones[z]
		if len(ring) >= minRingSize {
			continue
		}
		for _, p := range ring {
			if p.address != self.address && g.countBetween(self.hash, p.hash) < 2 {
				add(p.address)
			}
		}
	}
}

// countBetween returns the number of members whose hash lies strictly between two hashes, in the direction of the ring.
func (g *graph) countBetween(from, to uint64) int {
	n := 0
	for _, ring := range g.zones {
		for _, p := range ring {
			if p.hash != from && p.hash != to && p.hash-from < to-from {
				n++
			}
		}
	}
	return n
}

// addShortcuts adds members of the node's own zone, in the order of a hash of self and the member (rendezvous
// hashing), until there are total neighbours.
func (g *graph) addShortcuts(ring []point, self point, total int, add func(string) bool, out *[]string) {
	used := map[string]bool{self.address: true}
	for _, a := range *out {
		used[a] = true
	}
	for len(*out) < total {
		best, lowest := -1, uint64(0)
		for i, p := range ring {
			h := mix(self.hash*3 + p.hash)
			if !used[p.address] && (best < 0 || h < lowest) {
				best, lowest = i, h
			}
		}
		if best < 0 {
			return
		}
		used[ring[best].address] = true
		add(ring[best].address)
	}
}

// followingZones returns the other zones of k's region and, grouped by region, the zones of the other regions, each in
// cyclic order after those of k. Since every zone links to the next one and every region to the next one, the graph
// stays connected.
func (g *graph) followingZones(k zoneKey) (zones []zoneKey, regions [][]zoneKey) {
	position, _ := slices.BinarySearchFunc(g.zoneOrder, k, compareZones)
	first := len(g.zoneOrder)
	for i, z := range g.zoneOrder {
		if z.region == k.region {
			first = min(first, i)
		}
	}
	for i := range len(g.zoneOrder) {
		z := g.zoneOrder[(first+i)%len(g.zoneOrder)]
		if z.region == k.region {
			zones = append(zones, z)
			continue
		}
		if n := len(regions); n > 0 && regions[n-1][0].region == z.region {
			regions[n-1] = append(regions[n-1], z)
		} else {
			regions = append(regions, []zoneKey{z})
		}
	}
	own := position - first
	return append(slices.Clone(zones[own+1:]), zones[:own]...), regions
}

// successor returns the first member at or after the hash on the ring of the zone.
func (g *graph) successor(k zoneKey, hash uint64) string {
	ring := g.zones[k]
	i, _ := slices.BinarySearchFunc(ring, point{hash: hash}, comparePoints)
	return ring[i%len(ring)].address
}

func hashAddress(address string) uint64 { return xxhash.Sum64String(address) }
