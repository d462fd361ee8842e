package quota

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// fanOut is the number of children of the root, and the mean number of children of a node further down where all levels are full.
// It bounds the messages of one node to about 200 a second at any number of nodes, since some have twice as many.
const fanOut = 9

// parentOf returns the node to which this one reports, or nothing for the root. Nodes are ordered by a hash of their addresses. The
// first one is the root, the next fanOut are level 1, the next fanOut² are level 2, and so on. A node reports to the node of the
// level above that comes first by rendezvous hash, so that the loss of a node moves its own children and few others.
//
// A parent has a lower hash than its child in the view of the child. So there are no cycles even if views differ.
func parentOf(self string, reachable []string) (string, bool) {
	type ranked struct {
		address string
		hash    uint64
	}
	own := ranked{self, xxhash.Sum64String(self)}
	compare := func(a, b ranked) int { return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.address, b.address)) }
	var before []ranked
	for _, address := range reachable {
		r := ranked{address, xxhash.Sum64String(address)}
		if compare(r, own) < 0 {
			before = append(before, r)
		}
	}
	if len(before) == 0 {
		return "", false
	}
	slices.SortFunc(before, compare)
	first, size := 0, 1 // of the level above
	for len(before) >= first+size*(1+fanOut) {
		first += size
		size *= fanOut
	}
	best, bestScore := "", uint64(0)
	for _, r := range before[first:min(first+size, len(before))] {
		if score := xxhash.Sum64String(self + "\x00" + r.address); best == "" || score > bestScore {
			best, bestScore = r.address, score
		}
	}
	return best, true
}
