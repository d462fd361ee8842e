package rollout

import (
	"encoding/binary"
	"maps"
	mathbits "math/bits"
	"slices"
	"time"
)

// Members vote in numbered rounds. The votes of a round are a set of bits. Each voter has the bit that the hash of its
// address selects, so that members need not agree on a list. Voters with the same bit count as one, so of 255 members about
// 15 are not counted. That is safe: too low a count can delay a confirmation, but never give a wrong one.
//
// Evidence is at most as old as the time between two rounds plus the time that the votes take to spread. Longer intervals
// cost fewer messages, but must leave enough of Config.Bound that a lost message does not stop a node from taking work.
const (
	voteBits         = 2048
	roundStartSpread = 100 * time.Millisecond // spreads the starts, so that few members start the same round
	keepRounds       = 4                      // older rounds are dropped
	// maxShortIntervalMembers is the number of live members up to which votes are cheap enough for the short intervals.
	maxShortIntervalMembers = 100
)

// voteIntervals holds the intervals between rounds and between messages with votes.
type voteIntervals struct {
	round     time.Duration // between the starts of two rounds
	votes     time.Duration // between messages to one peer with votes of a round that it knows
	zoneVotes time.Duration // between messages to one peer with summaries; also how much newer a summary must be to be sent
}

var (
	shortIntervals = voteIntervals{
		round: 700 * time.Millisecond, votes: 300 * time.Millisecond, zoneVotes: 500 * time.Millisecond,
	}
	longIntervals = voteIntervals{
		round: time.Second, votes: 400 * time.Millisecond, zoneVotes: 700 * time.Millisecond,
	}
)

// voteIntervals returns the intervals for the current number of live members. If members know different numbers, they start
// rounds and send votes at different intervals, which makes no vote wrong.
func (m *Machine) voteIntervals() voteIntervals {
	if m.liveCount <= maxShortIntervalMembers {
		return shortIntervals
	}
	return longIntervals
}

type voteSet [voteBits / 64]uint64

func voteBit(address string) uint16 { return uint16(hash64(address) % voteBits) }

func (s *voteSet) set(bit uint16) { s[bit/64] |= 1 << (bit % 64) }

func (s *voteSet) count(mask *voteSet) int {
	n := 0
	for i := range s {
		n += mathbits.OnesCount64(s[i] & mask[i])
	}
	return n
}

func (s *voteSet) or(other *voteSet) {
	for i := range s {
		s[i] |= other[i]
	}
}

// minus returns the bits of s that are not in other, in order.
func (s *voteSet) minus(other *voteSet) []uint16 {
	var out []uint16
	for i := range s {
		for w := s[i] &^ other[i]; w != 0; w &= w - 1 {
			out = append(out, uint16(i*64+mathbits.TrailingZeros64(w)))
		}
	}
	return out
}

// voteRound is one round. Every vote in it was cast at start or later.
type voteRound struct {
	start Time
	votes voteSet
}

// roundVotes is a round on the wire: either the new bits in Gaps, or the whole set. Gaps holds, for each new bit, the
// number of bits between it and the new bit before, as a varint. A varint below 128 takes one byte, so most bits take one
// byte if the availability zone has more than 16 members (2048 / 16 = 128). Key 3 held the bits in an earlier encoding and
// stays unused, so that another release cannot misread them.
type roundVotes struct {
	Round uint64 `cbor:"1,keyasint"`
	Start int64  `cbor:"2,keyasint"`
	Set   []byte `cbor:"4,keyasint,omitempty"`
	Gaps  []byte `cbor:"5,keyasint,omitempty"`
}

func (r *roundVotes) valid() bool {
	_, ok := r.decodeGaps()
	return ok && len(r.Gaps) <= voteBits/8 && (len(r.Set) == 0 || len(r.Set) == voteBits/8)
}

// decodeGaps returns the bits in Gaps, and reports whether Gaps is valid.
func (r *roundVotes) decodeGaps() (s voteSet, ok bool) {
	next := uint64(0)
	for b := r.Gaps; len(b) > 0; next++ {
		gap, n := binary.Uvarint(b)
		if n <= 0 || gap >= voteBits || next+gap >= voteBits {
			return voteSet{}, false
		}
		next += gap
		s.set(uint16(next))
		b = b[n:]
	}
	return s, true
}

func (r *roundVotes) votes() *voteSet {
	s, _ := r.decodeGaps()
	for i := range len(r.Set) / 8 {
		s[i] |= binary.BigEndian.Uint64(r.Set[i*8:])
	}
	return &s
}

// pack encodes the new bits, or the whole set if that is not longer.
func (r *roundVotes) pack(all *voteSet, added []uint16) {
	next := uint16(0)
	for _, bit := range added {
		r.Gaps = binary.AppendUvarint(r.Gaps, uint64(bit-next))
		next = bit + 1
	}
	if len(r.Gaps) < voteBits/8 {
		return
	}
	r.Gaps = nil
	for _, w := range all {
		r.Set = binary.BigEndian.AppendUint64(r.Set, w)
	}
}

// addVotes adds the votes and summaries that the peer is not known to have to a message, and reports whether they are worth
// sending now.
func (m *Machine) addVotes(msg *message, to string, p *peer) bool {
	msg.Running, msg.RunningEpoch = m.running.Version, m.running.StoreEpoch
	v := m.members[to]
	sameZone := v != nil && v.Zone == m.cfg.Zone
	worth := sameZone && m.addRounds(msg, p)
	// Summaries are sent together with votes. They are worth a message of their own only to a peer outside of the
	// availability zone, which gets no votes, or to one that has got no summaries for long.
	wait := m.voteIntervals().zoneVotes
	if sameZone {
		wait += m.voteIntervals().round
	}
	if worth || m.now-p.lastZonesAt >= wait {
		worth = m.addZoneVotes(msg, p) || worth
	}
	return worth
}

// addRounds adds the votes that a peer of the availability zone is not known to have.
func (m *Machine) addRounds(msg *message, p *peer) (worth bool) {
	due := m.now-p.lastVotesAt >= m.voteIntervals().votes
	for _, round := range slices.Sorted(maps.Keys(m.voteRounds)) {
		t, has := m.voteRounds[round], p.knownVotes[round]
		if m.now-t.start > m.cfg.Bound || (has != nil && !due) {
			continue
		}
		if has == nil {
			has = &voteSet{}
		}
		added := t.votes.minus(has)
		if len(added) == 0 {
			continue
		}
		r := roundVotes{Round: round, Start: floorMS(t.start)}
		r.pack(&t.votes, added)
		msg.Rounds = append(msg.Rounds, r)
		m.recordKnownVotes(p, round, &t.votes)
		p.lastVotesAt, worth = m.now, true
	}
	return worth
}

// addZoneVotes adds the summaries that are clearly newer than those that the peer has.
func (m *Machine) addZoneVotes(msg *message, p *peer) bool {
	gain := m.voteIntervals().zoneVotes.Milliseconds()
	for _, name := range slices.Sorted(maps.Keys(m.zoneVotes)) {
		z := m.zoneVotes[name]
		if m.now-fromMS(z.At) > m.cfg.Bound || z.At-p.zoneVotes[name] < gain {
			continue
		}
		msg.ZoneVotes = append(msg.ZoneVotes, z)
		p.zoneVotes[name] = z.At
		p.lastZonesAt = m.now
	}
	return len(msg.ZoneVotes) > 0
}

// recordKnownVotes records that a peer has the votes of a round, and drops old rounds.
func (m *Machine) recordKnownVotes(p *peer, round uint64, votes *voteSet) {
	if p.knownVotes[round] == nil {
		p.knownVotes[round] = &voteSet{}
		for r := range p.knownVotes {
			if r+keepRounds <= round {
				delete(p.knownVotes, r)
			}
		}
	}
	p.knownVotes[round].or(votes)
}

func (m *Machine) mergeVotes(p *peer, msg *message) {
	if (versionID{msg.RunningEpoch, msg.Running}) != m.running.id() {
		return
	}
	for i := range msg.Rounds {
		r := &msg.Rounds[i]
		start, ok := m.fromPeerTime(p, r.Start)
		if !ok || start > m.now || r.Round+keepRounds <= m.newestRound {
			continue
		}
		votes := r.votes()
		m.recordKnownVotes(p, r.Round, votes)
		t := m.voteRounds[r.Round]
		if t == nil {
			t = m.openRound(r.Round, start)
		}
		t.start = min(t.start, start)
		t.votes.or(votes)
	}
	for _, z := range msg.ZoneVotes {
		at, ok := m.fromPeerTime(p, z.At)
		if !ok || at > m.now || z.Zone == m.cfg.Zone {
			continue
		}
		p.zoneVotes[z.Zone] = max(p.zoneVotes[z.Zone], floorMS(at))
		m.mergeZoneVote(zoneVote{Zone: z.Zone, Count: z.Count, At: floorMS(at)})
	}
}

// openRound starts a round, and drops old ones.
func (m *Machine) openRound(round uint64, start Time) *voteRound {
	t := &voteRound{start: start}
	m.voteRounds[round] = t
	m.newestRound = max(m.newestRound, round)
	maps.DeleteFunc(m.voteRounds, func(r uint64, _ *voteRound) bool { return r+keepRounds <= m.newestRound })
	return t
}

// countVotes starts a round if one is due, casts this node's vote, and derives majority evidence from all votes.
func (m *Machine) countVotes() {
	if !m.voting() {
		return
	}
	zoneSizes := m.zoneSizes.atLeast(m.row.Sizes)
	own := voteBit(m.cfg.Address)
	if m.canAttest() {
		if t := m.voteRounds[m.newestRound]; t == nil ||
			m.now-t.start >= m.voteIntervals().round+time.Duration(own)*roundStartSpread/voteBits {
			m.openRound(m.newestRound+1, m.now)
		}
		for _, t := range m.voteRounds {
			if t.start <= m.now {
				t.votes.set(own)
			}
		}
	}
	best, done := 0, false
	var summary zoneVote
	for _, round := range slices.Backward(slices.Sorted(maps.Keys(m.voteRounds))) {
		t := m.voteRounds[round]
		n := t.votes.count(&m.zoneMask)
		if !done && n >= zoneSizes[m.cfg.Zone]/2+1 {
			m.confirmByMajority(t.start)
			done = true
		}
		// The summary for other availability zones is of the newest round with votes, unless an older one has over a
		// quarter more votes.
		if n > 0 && 4*n > 5*best && m.now-t.start <= m.cfg.Bound {
			best = n
			summary = zoneVote{Zone: m.cfg.Zone, Count: n, At: floorMS(t.start)}
		}
	}
	if best > 0 {
		m.mergeZoneVote(summary)
	}
	m.countZoneVotes(zoneSizes)
}
