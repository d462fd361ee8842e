package membership

import (
	"encoding/binary"
	"maps"
	"slices"
	"strings"
)

const (
	// buckets is the number of buckets into which members are divided by the hash of their address, so that only those
	// that differ are sent. It is the number of bits of Message.Mask.
	buckets = 64
	// bucketBytes is the length of the hash of a bucket in a message.
	bucketBytes = 4
)

func bucketOf(hash uint64) int { return int(hash % buckets) }

// recordHash returns the contribution of a live member to the view hash. Dead and left members do not contribute,
// because nodes remove their records at different times.
func recordHash(address uint64, m *Member) uint64 {
	return mix(address ^ mix(m.Incarnation<<8|uint64(m.State)) ^ mix(m.Born))
}

func (m *Machine) viewHash() uint64 {
	var h uint64
	for i, b := range m.buckets {
		h ^= mix(b + uint64(i))
	}
	return h
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// startSync compares views with a random neighbour, since gossip messages may be lost. The first time it compares with
// two, since one of them may be the member whose part of the answer to the join was lost.
func (m *Machine) startSync() {
	near := m.Neighbours()
	if len(near) == 0 || m.status == StatusJoining {
		return
	}
	first := m.rng.IntN(len(near))
	m.send(near[first], &Message{Kind: KindDigest, Hash: m.viewHash()})
	if !m.viewsCompared && len(near) > 1 {
		m.send(near[(first+1)%len(near)], &Message{Kind: KindDigest, Hash: m.viewHash()})
	}
	m.viewsCompared = true
}

// redial tries to reach a member that was declared dead, or a seed that is not a member, so that a partition heals
// without an operator.
func (m *Machine) redial() {
	if m.status == StatusJoining {
		return
	}
	var dead []string
	for a, e := range m.deadOrLeft {
		if e.State == Dead {
			dead = append(dead, a)
		}
	}
	// Nodes that started at the same time may have formed separate groups, which the seeds connect.
	for _, a := range m.seeds {
		if m.members[a] == nil {
			dead = append(dead, a)
		}
	}
	if len(dead) == 0 {
		return
	}
	slices.Sort(dead) // map order is random, which would make simulations irreproducible
	m.send(dead[m.rng.IntN(len(dead))], &Message{Kind: KindDigest, Hash: m.viewHash()})
}

// handleBuckets answers with the live members of the buckets that differ.
func (m *Machine) handleBuckets(from string, msg *Message) {
	if len(msg.Buckets) != buckets*bucketBytes {
		return
	}
	var mask uint64
	for i, h := range m.buckets {
		if binary.BigEndian.Uint32(msg.Buckets[i*bucketBytes:]) != uint32(h) {
			mask |= 1 << i
		}
	}
	if mask == 0 {
		return
	}
	members := m.liveByBucket(mask)
	// A message contains whole buckets only, since the receiver concludes that a member missing from a bucket is
	// unknown to the sender.
	for mask != 0 {
		var some uint64
		var updates []Update
		for mask != 0 {
			bit := mask & -mask
			part := members[bit]
			if some != 0 && len(updates)+len(part) > briefsPerMessage {
				break
			}
			updates = append(updates, part...)
			some |= bit
			mask &^= bit
		}
		m.send(from, &Message{Kind: KindSummary, Mask: some, Updates: updates})
	}
}

// liveByBucket returns the live members in the buckets of the mask, by the bit of their bucket.
func (m *Machine) liveByBucket(mask uint64) map[uint64][]Update {
	out := map[uint64][]Update{}
	if bit := uint64(1) << bucketOf(m.selfHash); mask&bit != 0 && m.status != StatusLeft {
		out[bit] = append(out[bit], m.self.brief())
	}
	for _, e := range m.sorted {
		if bit := uint64(1) << bucketOf(e.addressHash); mask&bit != 0 && e.State.Live() {
			out[bit] = append(out[bit], e.brief())
		}
	}
	return out
}

// handleSummary sends the peer the records that it lacks or has an older version of, and requests those that are newer
// there. The records are sent without Info: when a partition heals, the peer has nearly all of them and requests the
// rest.
func (m *Machine) handleSummary(from string, msg *Message) {
	theirs := make(map[string]*Update, len(msg.Updates))
	var mine []Update
	var wants []string
	for i := range msg.Updates {
		u := &msg.Updates[i]
		theirs[u.Address] = u
		e := m.members[u.Address]
		switch {
		case u.Address == m.self.Address:
			m.applySelf(u, from)
		case e == nil:
			wants = append(wants, u.Address)
		case compare(u, &e.Member) < 0:
			mine = append(mine, e.brief())
		case compare(u, &e.Member) > 0 && u.born() == e.Born && u.meta() == e.Meta:
			m.apply(u, from, true)
		case compare(u, &e.Member) > 0:
			wants = append(wants, u.Address)
		}
	}
	for _, part := range m.liveByBucket(msg.Mask) {
		for i := range part {
			if theirs[part[i].Address] == nil {
				mine = append(mine, part[i])
			}
		}
	}
	slices.SortFunc(mine, func(a, b Update) int { return strings.Compare(a.Address, b.Address) })
	m.sendUpdates(from, KindSync, mine)
	m.sendWants(from, wants)
}

func (m *Machine) sendWants(to string, wants []string) {
	for part := range slices.Chunk(wants, briefsPerMessage) {
		m.send(to, &Message{Kind: KindWant, Wants: part})
	}
}

// handleWant answers with the complete records of the requested members.
func (m *Machine) handleWant(from string, msg *Message) {
	updates := make([]Update, 0, len(msg.Wants))
	for _, a := range msg.Wants {
		if u, _, ok := m.updateFor(a, true); ok {
			updates = append(updates, u)
		}
	}
	m.sendUpdates(from, KindSync, updates)
}

// handleSync applies newer records and sends back those that are newer here. Only a message with Last, from the member
// that received the join, completes it; parts from its helpers may arrive later. Other messages also come from peers
// that compare views: a node that took one of these for the answer would never join if the real answer was lost.
func (m *Machine) handleSync(from string, msg *Message) {
	var corrections []Update
	m.receivingView = msg.View || m.now.Before(m.joinRecoveryUntil)
	for i := range msg.Updates {
		u := &msg.Updates[i]
		if m.apply(u, from, true) {
			if c, _, ok := m.updateFor(u.Address, false); ok {
				corrections = append(corrections, c)
			}
		}
	}
	m.receivingView = false
	m.sendUpdates(from, KindSync, corrections)
	if msg.Last {
		m.markSynced()
		m.activate()
	}
}
