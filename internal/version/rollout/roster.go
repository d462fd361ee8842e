package rollout

import (
	"cmp"
	"hash/fnv"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Member is one node as the membership reports it. LastHeard is a time of the machine's clock.
type Member struct {
	Address   string
	Zone      string
	LastHeard time.Duration
	// Alive members are not suspected. They count as heard at the last call of SetMembers or Refresh.
	Alive bool
	Left  bool // left gracefully, or its address was replaced
}

// rosterMember is a member that counts in majorities.
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

// sizes holds the number of members of each availability zone.
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

// next returns the sizes to record with a proposal, from the sizes that the coordinator knows and those recorded last.
// Sizes may shrink only if the process is at least as old as rosterWindow and knows a strict majority of the recorded
// members. Any other process may not have heard all members yet, or may be cut off.
func (s sizes) next(recorded sizes, age Time) sizes {
	if age >= rosterWindow && 2*s.total() > recorded.total() {
		return s
	}
	return s.atLeast(recorded)
}

// hasBlockingMajority reports whether the set holds a strict majority of an availability zone or of all members. Each of
// these is enough for majority evidence (see countVotes), so members of the set could confirm the old version to each
// other, and the members outside of the set cannot decide without them. The sizes may exceed the roster; unlisted says
// whether the members that are missing from the roster belong to the set.
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
	// FNV mixes the last bytes poorly into the high bits, which matter most in the order of ranks.
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}

// ring returns the addresses in the order of a hash that depends on the ring's number.
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

// A node gossips with its two neighbours on each of several rings. The pseudo-random order of a ring lets a message reach
// every node in a few hops, and being neighbours is mutual.
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
