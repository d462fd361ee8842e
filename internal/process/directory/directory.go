// Package directory maintains a node's view of all nodes: their addresses, the target attached to each, and whether it
// accepts requests. Only the node itself writes its own entry; entries are gossiped between nodes, and of two entries of
// one node the newer one wins everywhere.
//
// A Directory is safe for concurrent use.
package directory

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/process/report"
)

// Member is the entry of one node.
type Member struct {
	Address          string       `cbor:"1,keyasint"` // of the peer interface; identifies the node
	Zone             string       `cbor:"2,keyasint,omitempty"`
	Incarnation      uint64       `cbor:"3,keyasint"` // of the node's process
	Revision         uint64       `cbor:"4,keyasint"` // increases with each change within the incarnation
	Service          string       `cbor:"5,keyasint,omitempty"`
	Instance         string       `cbor:"6,keyasint,omitempty"` // of the target
	Born             int64        `cbor:"7,keyasint,omitempty"` // start time of the target, Unix milliseconds
	Sequence         int64        `cbor:"8,keyasint,omitempty"` // of the target's last report that changed the entry
	Slots            int          `cbor:"9,keyasint,omitempty"`
	Phase            report.Phase `cbor:"10,keyasint,omitempty"`
	NodeLeaving      bool         `cbor:"11,keyasint,omitempty"` // the node itself is stopping
	StoreUnreachable bool         `cbor:"12,keyasint,omitempty"` // the node cannot use the platform's store
	// Leavings is what the node has been told of targets that leave or have left, the latest first.
	Leavings []report.Leaving `cbor:"13,keyasint,omitempty"`
}

// Serving reports whether the member's target accepts requests.
func (m *Member) Serving() bool {
	return !m.NodeLeaving && m.Phase == report.PhaseReady && m.Instance != "" && m.Service != ""
}

// TargetLeaving reports whether the target is draining or has left.
func (m *Member) TargetLeaving() bool {
	return m.Phase == report.PhaseDraining || m.Phase == report.PhaseGone
}

// Deregistered reports whether the node has removed its row from the store's table of nodes: it does so when it stops after its
// target.
func (m *Member) Deregistered() bool { return m.NodeLeaving && m.TargetLeaving() }

// inheritDrain keeps the drain in the node's earlier entry if the new one has no target, or has the same target without
// a newer report: a drain that was acknowledged must survive a restart of the node that acknowledged it. An instance that
// is gone stays gone whatever it reports later.
func (m *Member) inheritDrain(earlier Member) {
	m.Leavings, _ = report.MergeAllLeavings(earlier.Leavings, m.Leavings)
	if !earlier.TargetLeaving() || m.TargetLeaving() {
		return
	}
	same := m.Instance == earlier.Instance && m.Born == earlier.Born &&
		(earlier.Phase == report.PhaseGone || m.Sequence <= earlier.Sequence)
	if m.Instance == "" || same {
		m.Instance, m.Born, m.Sequence, m.Phase = earlier.Instance, earlier.Born, earlier.Sequence, earlier.Phase
	}
}

// newer reports whether a is newer than b; both are entries of the same node.
func newer(a, b Member) bool {
	return cmp.Or(cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Revision, b.Revision)) > 0
}

// Directory is one node's view of all nodes.
type Directory struct {
	self string

	mu      sync.Mutex
	members map[string]Member
	down    map[string]time.Time   // unreachable nodes, since when
	leaving map[targetID]time.Time // targets that have said in a response to this node that they leave, since when
	sums    Sums                   // of members
}

// targetID identifies a target process. An instance ID can be used again by a later process.
type targetID struct {
	instance string
	born     int64
}

// leavingRetention is the time for which a target that leaves is remembered. Targets leave within minutes, but an entry from
// before can be received late, or again from a node that was restarted.
const leavingRetention = time.Hour

// New returns a directory that contains only the node's own entry.
func New(self Member) *Directory {
	d := &Directory{
		self: self.Address, members: map[string]Member{}, down: map[string]time.Time{}, leaving: map[targetID]time.Time{},
	}
	d.putLocked(self)
	return d
}

// putLocked stores an entry. The caller holds the mutex.
func (d *Directory) putLocked(m Member) {
	d.removeLocked(m.Address)
	d.members[m.Address] = m
	d.sums.add(m)
}

// removeLocked removes an entry. The caller holds the mutex.
func (d *Directory) removeLocked(address string) {
	if old, ok := d.members[address]; ok {
		d.sums.subtract(old)
		delete(d.members, address)
	}
}

// Self returns the node's own entry.
func (d *Directory) Self() Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.members[d.self]
}

// Update changes the node's own entry and returns it.
func (d *Directory) Update(change func(*Member)) Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	m := d.members[d.self]
	change(&m)
	m.Revision++
	d.putLocked(m)
	return m
}

// Merged is the result of a merge.
type Merged struct {
	Changed []Member // entries that are new or newer
	// RememberedSelf is this node's entry from an earlier process, or a leaving target that its current entry lacks, as
	// known by another node; nil if there is neither. The node's incarnation was raised above that of the entry if
	// necessary.
	RememberedSelf *Member
}

// Merge merges entries received from other nodes.
func (d *Directory) Merge(list []Member) Merged {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out Merged
	for _, m := range list {
		if m.Address == d.self {
			own := d.members[d.self]
			if m.Incarnation != own.Incarnation || m.TargetLeaving() && !own.TargetLeaving() && m.Revision <= own.Revision {
				echo := m
				out.RememberedSelf = &echo
				if m.Incarnation > own.Incarnation {
					own.Incarnation = m.Incarnation + 1
					d.putLocked(own)
				}
			}
			continue
		}
		have, ok := d.members[m.Address]
		if ok && !newer(m, have) {
			continue
		}
		m.inheritDrain(have)
		d.putLocked(m)
		out.Changed = append(out.Changed, m)
	}
	return out
}

// Introduce adds a node of which only the address and possibly the availability zone are known. It reports whether the
// node was new.
func (d *Directory) Introduce(address, zone string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, ok := d.members[address]; ok {
		return false
	}
	d.putLocked(Member{Address: address, Zone: zone})
	return true
}

// Remove removes a node.
func (d *Directory) Remove(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if address != d.self {
		d.removeLocked(address)
		delete(d.down, address)
	}
}

// SetDown records that a node cannot be reached. It reports whether the node was known and regarded as reachable.
func (d *Directory) SetDown(address string, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, ok := d.members[address]; !ok || address == d.self {
		return false
	}
	if _, ok := d.down[address]; ok {
		return false
	}
	d.down[address] = now
	return true
}

// SetUp records that a node was reached. It reports whether it was regarded as unreachable before.
func (d *Directory) SetUp(address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, ok := d.down[address]
	delete(d.down, address)
	return ok
}

// SetTargetLeaving records that a target has said in a response to this node that it leaves. From then on Targets leaves it out,
// whatever its own node says: that node may have been restarted and not know. It reports whether that was new.
func (d *Directory) SetTargetLeaving(instance string, born int64, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	id := targetID{instance, born}
	if _, ok := d.leaving[id]; ok {
		return false
	}
	maps.DeleteFunc(d.leaving, func(_ targetID, since time.Time) bool { return now.Sub(since) > leavingRetention })
	d.leaving[id] = now
	return true
}

// Member returns the entry of a node.
func (d *Directory) Member(address string) (Member, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	m, ok := d.members[address]
	return m, ok
}

// All returns all entries sorted by address.
func (d *Directory) All() []Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.SortedFunc(maps.Values(d.members), func(a, b Member) int { return cmp.Compare(a.Address, b.Address) })
}

// Peers returns the addresses of the other nodes: those that can be reached, and those that cannot.
func (d *Directory) Peers() (up, down []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for address := range d.members {
		if address == d.self {
			continue
		}
		if _, ok := d.down[address]; ok {
			down = append(down, address)
		} else {
			up = append(up, address)
		}
	}
	slices.Sort(up)
	slices.Sort(down)
	return up, down
}

// Targets returns the entries of reachable nodes whose targets accept requests and have not told this node that they leave, by
// service.
func (d *Directory) Targets() map[string][]Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := map[string][]Member{}
	for _, m := range d.members {
		if _, leaving := d.leaving[targetID{m.Instance, m.Born}]; m.Serving() && !leaving && !d.isDownLocked(m.Address) {
			out[m.Service] = append(out[m.Service], m)
		}
	}
	return out
}

// isDownLocked reports whether a node is regarded as unreachable. The caller holds the mutex.
func (d *Directory) isDownLocked(address string) bool {
	_, ok := d.down[address]
	return ok
}

// Size returns the number of nodes, including this one.
func (d *Directory) Size() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.members)
}

// Participants returns the addresses of the other nodes that can be reached and do not stop, and the number of all nodes, with this one,
// that may still forward requests: those that have deregistered may not.
func (d *Directory) Participants() (reachable []string, known int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for address, m := range d.members {
		if m.Deregistered() && address != d.self {
			continue
		}
		known++
		if address != d.self && !m.NodeLeaving && !d.isDownLocked(address) {
			reachable = append(reachable, address)
		}
	}
	return reachable, known
}
