package rollout

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// ErrMessage reports a malformed message.
var ErrMessage = errors.New("invalid configuration message")

const maxMessageBytes = MaxBundleBytes + 64<<10

// VersionInfo describes one version: what it contains and who made it.
type VersionInfo struct {
	Version uint64   `cbor:"1,keyasint" json:"version"`
	Hash    string   `cbor:"2,keyasint" json:"hash"`
	ID      string   `cbor:"3,keyasint" json:"id"`
	Author  string   `cbor:"4,keyasint" json:"author"`
	Comment string   `cbor:"5,keyasint" json:"comment"`
	Changed []string `cbor:"6,keyasint,omitempty" json:"changed,omitempty"` // names of the files that differ
	// StoreEpoch is the number of restores of the platform before the version was proposed.
	StoreEpoch uint64 `cbor:"7,keyasint,omitempty" json:"store_epoch,omitempty"`
}

// versionID orders versions. Where the platform and all nodes have lost a version, its number is given to another one, in a later
// epoch of the platform.
type versionID struct{ epoch, version uint64 }

func (v VersionInfo) id() versionID { return versionID{v.StoreEpoch, v.Version} }

func (a versionID) after(b versionID) bool {
	return a.epoch > b.epoch || a.epoch == b.epoch && a.version > b.version
}

// Pending is a proposal that is not accepted or refused yet.
type Pending struct {
	Head        VersionInfo `cbor:"1,keyasint"` // the proposed version
	Ballot      uint64      `cbor:"2,keyasint"` // increases when another coordinator takes over
	Coordinator string      `cbor:"3,keyasint"`
	Epoch       uint64      `cbor:"4,keyasint"` // of the coordinator's process
	FirstSeq    uint64      `cbor:"5,keyasint"` // Seq of the row that held the first ballot
	Roster      string      `cbor:"6,keyasint"` // hash of the encoded roster, which is the same for every ballot
	Sizes       sizes       `cbor:"7,keyasint"` // of the availability zones, the same for every ballot
}

// names reports whether the proposal names an object. It may be nil.
func (p *Pending) names(hash string) bool {
	return p != nil && (hash == p.Head.Hash || hash == p.Roster)
}

// sameBallot reports whether both are the same ballot of the same coordinator. The other may be nil.
func (p *Pending) sameBallot(other *Pending) bool {
	return other != nil && p.Head.ID == other.Head.ID && p.Ballot == other.Ballot && p.Coordinator == other.Coordinator &&
		p.Epoch == other.Epoch
}

// HeadRow is the value of the head row. Every write increments Seq. After the platform has come back from an older copy, numbers
// are given out again, so that rows are ordered by StoreEpoch first.
type HeadRow struct {
	Seq     uint64      `cbor:"1,keyasint"`
	Head    VersionInfo `cbor:"2,keyasint"` // the accepted version
	Pending *Pending    `cbor:"3,keyasint,omitempty"`
	// Sizes holds the number of members of each availability zone when the head was proposed.
	Sizes      sizes  `cbor:"4,keyasint,omitempty"`
	StoreEpoch uint64 `cbor:"5,keyasint,omitempty"` // restores of the platform before the row was written
}

// rowID orders the states of the head row.
type rowID struct{ epoch, seq uint64 }

func (r HeadRow) id() rowID { return rowID{r.StoreEpoch, r.Seq} }

func (a rowID) after(b rowID) bool { return a.epoch > b.epoch || a.epoch == b.epoch && a.seq > b.seq }

type messageKind uint8

const (
	kindState messageKind = iota + 1
	kindAsk
	kindAnswer
	kindFetch
	kindBody
)

// message is the content of an Envelope. Times are milliseconds of the sender's clock, if nothing else is said.
type message struct {
	Kind      messageKind `cbor:"1,keyasint"`
	Epoch     uint64      `cbor:"2,keyasint"`           // random number of the sender's process
	Sent      int64       `cbor:"3,keyasint"`           // when the message was sent
	EchoEpoch uint64      `cbor:"4,keyasint,omitempty"` // Epoch of the latest message from the receiver
	Echo      int64       `cbor:"5,keyasint,omitempty"` // Sent of that message, in the receiver's clock
	EchoAt    int64       `cbor:"6,keyasint,omitempty"` // when that message arrived

	Seq           uint64       `cbor:"7,keyasint,omitempty"`
	RowEpoch      uint64       `cbor:"18,keyasint,omitempty"` // StoreEpoch of row Seq
	StoreEpoch    uint64       `cbor:"19,keyasint,omitempty"` // restores of the platform that the sender knows of
	FreshAt       int64        `cbor:"8,keyasint,omitempty"`  // the platform held row Seq at this time
	Row           *HeadRow     `cbor:"9,keyasint,omitempty"`  // left out if the receiver is known to have it
	RolledForward *VersionInfo `cbor:"10,keyasint,omitempty"`
	Running       uint64       `cbor:"11,keyasint,omitempty"` // version that the votes are for
	RunningEpoch  uint64       `cbor:"20,keyasint,omitempty"` // its StoreEpoch
	Rounds        []roundVotes `cbor:"12,keyasint,omitempty"` // votes of the sender's availability zone
	ZoneVotes     []zoneVote   `cbor:"13,keyasint,omitempty"`

	Ask    *ask    `cbor:"14,keyasint,omitempty"`
	Answer *answer `cbor:"15,keyasint,omitempty"`
	Hash   string  `cbor:"16,keyasint,omitempty"` // of the body that is fetched or sent
	Body   []byte  `cbor:"17,keyasint,omitempty"`
}

func (m *message) rowID() rowID { return rowID{m.RowEpoch, m.Seq} }

// zoneVote summarises the votes of an availability zone: Count members voted for the sender's running version, each at time
// At or later.
type zoneVote struct {
	Zone  string `cbor:"1,keyasint"`
	Count int    `cbor:"2,keyasint"`
	At    int64  `cbor:"3,keyasint"`
}

type phase uint8

const (
	phaseAck  phase = 1 // check the proposal and acknowledge it
	phaseLock phase = 2 // lock the proposal for roll-forward
	phaseHold phase = 3 // tells a member that the coordinator has its acknowledgement; members do not answer it
)

// ask is a request about a proposal, to one member, or to a relay that passes it on to the listed members.
type ask struct {
	ID      string   `cbor:"1,keyasint"`
	Ballot  uint64   `cbor:"2,keyasint"`
	Phase   phase    `cbor:"3,keyasint"`
	Token   uint64   `cbor:"4,keyasint"`
	Members []string `cbor:"5,keyasint,omitempty"`
	At      int64    `cbor:"6,keyasint,omitempty"` // when the coordinator asked, in the sender's clock; 0: unknown
}

// answer is the aggregated answer of several members to an ask, or that of one. Bit i of each set stands for member i of the
// ask.
type answer struct {
	ID     string `cbor:"1,keyasint"`
	Ballot uint64 `cbor:"2,keyasint"`
	Phase  phase  `cbor:"3,keyasint"`
	Token  uint64 `cbor:"4,keyasint"`
	OK     []byte `cbor:"5,keyasint"`
	// Clean members hold no lock, and their processes started before the proposal was written, so that no earlier process at
	// the same address can have locked it.
	Clean []byte `cbor:"6,keyasint"`
	// Locked members hold a lock for the proposal, whichever ballot asked for it, or know that its version or a newer one is
	// decided.
	Locked     []byte      `cbor:"7,keyasint"`
	Rejections []Rejection `cbor:"8,keyasint,omitempty"`
	Self       bool        `cbor:"9,keyasint,omitempty"` // the answer of the sender alone, in bit 0
}

// Rejection names a node that rejected a proposal.
type Rejection struct {
	Address string `cbor:"1,keyasint" json:"address"`
	Reason  string `cbor:"2,keyasint" json:"reason"`
}

func (m *message) encode() []byte { return must(cborEncMode.Marshal(m)) }

// decodeMessage parses a message from a peer.
func decodeMessage(payload []byte) (*message, error) {
	if len(payload) > maxMessageBytes {
		return nil, fmt.Errorf("%w: %d bytes, limit %d", ErrMessage, len(payload), maxMessageBytes)
	}
	m := &message{}
	if err := cborDecMode.Unmarshal(payload, m); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMessage, err)
	}
	switch {
	case m.Kind < kindState || m.Kind > kindBody,
		m.Kind == kindAsk && (m.Ask == nil || m.Row == nil || m.Row.Pending == nil),
		m.Kind == kindAnswer && m.Answer == nil,
		m.Row != nil && m.Row.id() != m.rowID(),
		slices.ContainsFunc(m.Rounds, func(r roundVotes) bool { return !r.valid() }):
		return nil, fmt.Errorf("%w: kind %d", ErrMessage, m.Kind)
	}
	return m, nil
}

func decodeRow(value []byte) (HeadRow, error) {
	var r HeadRow
	if err := cborDecMode.Unmarshal(value, &r); err != nil {
		return r, fmt.Errorf("head row: %w", err)
	}
	return r, nil
}

// Times are sent in whole milliseconds, rounded so that evidence does not look younger than it is.
func floorMS(d time.Duration) int64 { return int64(d / time.Millisecond) }
func ceilMS(d time.Duration) int64  { return int64((d + time.Millisecond - 1) / time.Millisecond) }
func fromMS(ms int64) time.Duration {
	const limit = int64(1) << 42
	return time.Duration(min(max(ms, -limit), limit)) * time.Millisecond
}

// bitSet is a set of member indexes.
type bitSet []byte

func newBitSet(n int) bitSet { return make(bitSet, (n+7)/8) }
func (b bitSet) set(i int)   { b[i/8] |= 1 << (i % 8) }
func (b bitSet) has(i int) bool {
	return i/8 < len(b) && b[i/8]&(1<<(i%8)) != 0
}
