package directory

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Buckets is the number of buckets into which the entries are divided to find those that differ. At 2,300 nodes a bucket
// holds 36.
const Buckets = 64

// Sums are the sums of the hashes of all entries, by bucket. Changing an entry updates them at a constant cost.
type Sums [Buckets]uint64

func (s *Sums) add(m Member)      { s[bucket(m.Address)] += hash(m) }
func (s *Sums) subtract(m Member) { s[bucket(m.Address)] -= hash(m) }

func bucket(address string) int { return int(xxhash.Sum64String(address) % Buckets) }

// hash returns the hash of an entry, or zero for a node of which at most the zone is known: there is nothing to pass on.
func hash(m Member) uint64 {
	if m.Incarnation == 0 {
		return 0
	}
	h := xxhash.New()
	_, _ = h.WriteString(m.Address) // writes to the hash do not fail
	_, _ = h.WriteString(m.Instance)
	b := [17]byte{byte(m.Phase)} // a drain that was kept by inheritDrain differs from the node's own entry
	binary.BigEndian.PutUint64(b[1:9], m.Incarnation)
	binary.BigEndian.PutUint64(b[9:], m.Revision)
	_, _ = h.Write(b[:])
	for _, l := range m.Leavings {
		_, _ = h.WriteString(l.Instance)
		binary.BigEndian.PutUint64(b[:8], uint64(l.Born))
		binary.BigEndian.PutUint64(b[8:16], uint64(l.Sequence))
		b[16] = byte(l.Phase)
		_, _ = h.Write(b[:])
	}
	return h.Sum64()
}

// Digest returns a hash of all entries. It is the same for nodes with the same view.
func (d *Directory) Digest() uint64 {
	sums := d.Sums()
	h := xxhash.New()
	var b [8]byte
	for _, sum := range sums {
		binary.BigEndian.PutUint64(b[:], sum)
		_, _ = h.Write(b[:])
	}
	return h.Sum64()
}

// Sums returns the sums of all buckets.
func (d *Directory) Sums() Sums {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.sums
}

// DifferingBuckets returns the buckets in which another node's sums differ from this one's.
func (d *Directory) DifferingBuckets(theirs []uint64) []int {
	sums := d.Sums()
	var out []int
	for i := range sums {
		if i >= len(theirs) || theirs[i] != sums[i] {
			out = append(out, i)
		}
	}
	return out
}

// EntriesIn returns the entries of the given buckets, sorted by address, without nodes of which at most the zone is
// known.
func (d *Directory) EntriesIn(buckets []int) []Member {
	var wanted [Buckets]bool
	for _, b := range buckets {
		if b >= 0 && b < Buckets {
			wanted[b] = true
		}
	}
	var out []Member
	for _, m := range d.All() {
		if m.Incarnation != 0 && wanted[bucket(m.Address)] {
			out = append(out, m)
		}
	}
	return out
}

// MissingEntries returns those entries of the given buckets that the list lacks or has in a different state.
func (d *Directory) MissingEntries(buckets []int, list []Member) []Member {
	theirs := make(map[string]Member, len(list))
	for _, m := range list {
		theirs[m.Address] = m
	}
	return slices.DeleteFunc(d.EntriesIn(buckets), func(m Member) bool {
		have, ok := theirs[m.Address]
		return ok && hash(have) == hash(m)
	})
}

// Neighbours returns the addresses of the other nodes that can be reached: those of this node's availability zone, and
// the others by zone.
func (d *Directory) Neighbours() (zone []string, others map[string][]string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	own := d.members[d.self].Zone
	others = map[string][]string{}
	for address, m := range d.members {
		switch {
		case address == d.self || d.isDownLocked(address):
		case m.Zone == own:
			zone = append(zone, address)
		default:
			others[m.Zone] = append(others[m.Zone], address)
		}
	}
	return zone, others
}

// HigherRanked returns the reachable nodes of this node's availability zone that are not stopping and rank before this
// node. The rank is the hash of the address, so all nodes agree on it.
func (d *Directory) HigherRanked() []Member {
	return d.ranked(func(toSelf int) bool { return toSelf < 0 })
}

// LowerRanked is like HigherRanked for the nodes that rank after this one, the first of them in the order of their ranks.
func (d *Directory) LowerRanked(n int) []Member {
	list := d.ranked(func(toSelf int) bool { return toSelf > 0 })
	slices.SortFunc(list, func(a, b Member) int { return CompareRanks(a.Address, b.Address) })
	return list[:min(n, len(list))]
}

// ranked returns the reachable nodes of this node's availability zone that are not stopping and whose rank, compared with that of
// this node, is wanted.
func (d *Directory) ranked(wanted func(toSelf int) bool) []Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	zone := d.members[d.self].Zone
	var out []Member
	for address, m := range d.members {
		if m.Zone == zone && !m.NodeLeaving && !d.isDownLocked(address) && wanted(CompareRanks(address, d.self)) {
			out = append(out, m)
		}
	}
	return out
}

// CompareRanks orders the addresses of the nodes of an availability zone: the first ones follow the platform's store.
func CompareRanks(a, b string) int {
	return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
}

// StoreUsers returns the addresses of the other nodes that can be reached, do not stop and have not said that they cannot use the store.
// Those that are likely to use it at present come first: the first ranks of each availability zone.
func (d *Directory) StoreUsers() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	byZone := map[string][]string{}
	for address, m := range d.members {
		if address != d.self && !m.NodeLeaving && !m.StoreUnreachable && !d.isDownLocked(address) {
			byZone[m.Zone] = append(byZone[m.Zone], address)
		}
	}
	type user struct {
		address string
		rank    int
	}
	var users []user
	for _, list := range byZone {
		slices.SortFunc(list, CompareRanks)
		for rank, address := range list {
			users = append(users, user{address, rank})
		}
	}
	slices.SortFunc(users, func(a, b user) int { return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.address, b.address)) })
	out := make([]string, len(users))
	for i, u := range users {
		out[i] = u.address
	}
	return out
}
