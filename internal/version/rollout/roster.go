package rollout

import (
	"cmp"
	"hash/fnv"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Member is one node as the membership reports it. LastHeard is in the time of the machine.
type Member struct {
	Address   string
	Zone      string
	LastHeard time.Duration
	// Alive members count as heard for as long as the view holds.
	Alive bool
	Left  bool // left gracefully, or its address was replaced
}

// rosterMember is a member as it counts in majorities.
type rosterMember struct {
	Address string `cbor:"1,keyasint"`
	Zone    string `cbor:"2,keyasint"`
}

// roster is the set of members that majorities are counted over, sorted by address.
type roster []rosterMember

func encodeRoster(r roster) []byte { return must(cborEncMode.Marshal(r)) }

func decodeRoster(body []byte) (roster, error) {
	var r roster
	err := cborDecMode.Unmarshal(body, &r)
	return r, err
}

// sizes are numbers of members by availability zone.
type sizes map[string]int

func (r roster) sizes() sizes {
	out := sizes{}
	for _, m := range r {
		out[m.Zone]++
	}
	return out
}

// atLeast returns the larger of both sizes for every availability zone.
func (s sizes) atLeast(other sizes) sizes {
	out := sizes{}
	for _, x := range []sizes{s, other} {
		for zone, n := range x {
			out[zone] = max(out[zone], n)
		}
	}
	return out
}

func (s sizes) total() int {
	n := 0
	for _, x := range s {
		n += x
	}
	return n
}

// next returns the sizes to record with a proposal, from what the coordinator knows and what was recorded last. Only a
// process as old as the window that knows a strict majority of the recorded members may record smaller sizes: others may
// have missed members, or are cut off.
func (s sizes) next(recorded sizes, age Time) sizes {
	if age >= rosterWindow && 2*s.total() > recorded.total() {
		return s
	}
	return s.atLeast(recorded)
}

// blocks reports whether the set holds a strict majority of an availability zone or of all. The sizes may exceed the
// roster; unlisted says whether the members that it lacks belong to the set.
func (r roster) hasBlockingMajority(size sizes, unlisted bool, in func(address string) bool) bool {
	count, listed := sizes{}, r.sizes()
	for _, m := range r {
		if in(m.Address) {
			count[m.Zone]++
		}
	}
	size = size.atLeast(listed)
	if unlisted {
		for zone, n := range size {
			count[zone] += n - listed[zone]
		}
	}
	if 2*count.total() > size.total() {
		return true
	}
	for zone, n := range count {
		if 2*n > size[zone] {
			return true
		}
	}
	return false
}

func hash64(parts ...string) uint64 {
	h := fnv.New64a()
	for _, p := range parts {
		_, _ = h.Write([]byte(p))
		_, _ = h.Write([]byte{0})
	}
	// FNV spreads the last bytes poorly over the high bits, which the rank order compares first.
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}

// ring orders addresses by a hash that depends on the ring's number.
func ring(addresses []string, number int) []string {
	n := strconv.Itoa(number)
	type ranked struct {
		rank    uint64
		address string
	}
	all := make([]ranked, len(addresses))
	for i, a := range addresses {
		all[i] = ranked{hash64(n, a), a}
	}
	slices.SortFunc(all, func(x, y ranked) int {
		return cmp.Or(cmp.Compare(x.rank, y.rank), strings.Compare(x.address, y.address))
	})
	out := make([]string, len(all))
	for i, r := range all {
		out[i] = r.address
	}
	return out
}

// Gossip neighbours are the two neighbours on each of several rings: random enough that a message reaches everyone in a
// few hops, and the same on both sides.
const (
	zoneRings = 2 // over the members of the availability zone
	allRings  = 1 // over all members
)

func neighbours(self string, zone, all []string) []string {
	var out []string
	add := func(order []string) {
		i := slices.Index(order, self)
		for _, a := range []string{order[(i+1)%len(order)], order[(i+len(order)-1)%len(order)]} {
			if a != self && !slices.Contains(out, a) {
				out = append(out, a)
			}
		}
	}
	for n := range zoneRings {
		add(ring(zone, n))
	}
	for n := range allRings {
		add(ring(all, zoneRings+n))
	}
	return out
}
