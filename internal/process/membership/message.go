package membership

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Kind is the type of a message.
type Kind uint8

// Kinds of messages, each with the fields that it uses.
//
// Members are divided into buckets by the hash of their address, so that two nodes exchange only the buckets in which
// their views differ. In Mask, bit i stands for bucket i.
//
// KindJoin with Target and Mask asks the receiver to send the joining node Target the buckets of Mask, so that several
// members share the work of the answer.
//
// The receiver of KindSync forwards updates that are new to it, as with KindGossip, with two exceptions: it does not
// forward the answer to its own join or what it receives within joinRecoveryTime after it, and a live member that an
// update declares dead becomes only suspect in its view. It sends back its own record where an update is older.
//
// The receiver of KindNotice must refute a record that says it is suspect or dead. If the record shows that another
// process has replaced it, it takes part no longer (StatusReplaced).
const (
	KindPing    Kind = iota + 1 // Seq
	KindAck                     // Seq of the ping; if it answers KindPingReq, also Target: the probed member
	KindPingReq                 // Seq, Target: probe the member Target for the sender
	KindGossip                  // Updates; the receiver forwards those that are new to it
	KindJoin                    // Updates: the sender's own record; answered with the view. Or Target, Mask: see above
	KindSync                    // Updates that answer KindJoin, KindSummary, KindWant or KindSync; see above
	KindDigest                  // Hash of the sender's view; answered with KindBuckets if the receiver's view differs
	KindBuckets                 // Buckets: hashes of the buckets of the sender's view; answered with KindSummary
	KindSummary                 // Mask of the buckets that differ; Updates without Info for all live members in them
	KindWant                    // Wants: addresses whose complete records the sender lacks; answered with KindSync
	KindNotice                  // Updates: the sender's record of the receiver; see above
	kindEnd
)

// Limits of a message, which bound the memory that one message can make a node allocate.
const (
	maxMessage = 64 << 10
	maxUpdates = 4096
	maxText    = 255
	// updatesPerMessage keeps a message with complete records of up to 80 bytes below 16 KiB. Requests use the same
	// connections between nodes, and larger messages would noticeably delay their frames.
	updatesPerMessage = 200
	// briefsPerMessage is the same limit for updates without Info.
	briefsPerMessage = 400
)

// ErrInvalid reports a malformed message.
var ErrInvalid = errors.New("invalid membership message")

// Message is one message between two nodes. It does not carry the sender's address, which the transport provides.
type Message struct {
	Kind        Kind     `cbor:"1,keyasint"`
	Incarnation uint64   `cbor:"2,keyasint,omitempty"` // of the sender
	Seq         uint32   `cbor:"3,keyasint,omitempty"`
	Target      string   `cbor:"4,keyasint,omitempty"`
	Updates     []Update `cbor:"-"` // packed on the wire
	Hash        uint64   `cbor:"6,keyasint,omitempty"`
	Buckets     []byte   `cbor:"7,keyasint,omitempty"`
	Wants       []string `cbor:"8,keyasint,omitempty"`
	Mask        uint64   `cbor:"9,keyasint,omitempty"`
	Last        bool     `cbor:"10,keyasint,omitempty"` // the last part of the view that answers a join
	View        bool     `cbor:"12,keyasint,omitempty"` // a part of the view that answers a join
	Packed      *packed  `cbor:"11,keyasint,omitempty"` // wire form of Updates; key 5 was used by an earlier form
}

// Update is a statement about one member.
type Update struct {
	Address     string
	Incarnation uint64
	State       State
	SinceBorn   uint64 // Incarnation - Member.Born
	SinceMeta   uint64 // Incarnation - Member.Meta
	Info        *Info  // omitted if the receiver should have it already
	Age         uint32 // seconds since the member died or left; zero if it is live
}

// Info holds the fields of a record that change rarely.
type Info struct {
	Caller   string
	Instance uint64
	Zone     string
	Region   string
	Service  string
	Slots    int
	Stated   State // only if it differs from the state
}

func (u *Update) born() uint64 { return u.Incarnation - u.SinceBorn }
func (u *Update) meta() uint64 { return u.Incarnation - u.SinceMeta }

// brief returns the record of a member without Info.
func (m *Member) brief() Update {
	return Update{
		Address: m.Address, Incarnation: m.Incarnation, State: m.State,
		SinceBorn: m.Incarnation - m.Born, SinceMeta: m.Incarnation - m.Meta,
	}
}

// full returns the record of a member with Info.
func (m *Member) full() Update {
	u := m.brief()
	u.Info = &Info{
		Caller: m.Caller, Instance: m.Instance, Zone: m.Zone, Region: m.Region, Service: m.Service, Slots: m.Slots,
	}
	if m.Stated != m.State {
		u.Info.Stated = m.Stated
	}
	return u
}

var decoder = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: maxUpdates, MaxMapPairs: 64, MaxNestedLevels: 8,
		IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}()

// Encode returns the wire form of the message.
func (m *Message) Encode() ([]byte, error) {
	wire := *m
	wire.Packed = pack(m.Updates)
	b, err := cbor.Marshal(&wire)
	if err != nil {
		return nil, fmt.Errorf("encode membership message: %w", err)
	}
	return b, nil
}

// Decode reads a message from its wire form.
func Decode(b []byte) (*Message, error) {
	if len(b) > maxMessage {
		return nil, fmt.Errorf("%w: %d bytes", ErrInvalid, len(b))
	}
	m := &Message{}
	if err := decoder.Unmarshal(b, m); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	if m.Kind == 0 || m.Kind >= kindEnd {
		return nil, fmt.Errorf("%w: kind %d", ErrInvalid, m.Kind)
	}
	if len(m.Buckets) != 0 && len(m.Buckets) != buckets*bucketBytes {
		return nil, fmt.Errorf("%w: %d bytes of bucket hashes", ErrInvalid, len(m.Buckets))
	}
	updates, err := m.Packed.unpack()
	if err != nil {
		return nil, err
	}
	m.Updates, m.Packed = updates, nil
	for i := range m.Updates {
		if err := m.Updates[i].check(); err != nil {
			return nil, err
		}
	}
	return m, nil
}

func (u *Update) check() error {
	if u.Address == "" || len(u.Address) > maxText {
		return fmt.Errorf("%w: address of %d bytes", ErrInvalid, len(u.Address))
	}
	if u.State < Joining || u.State > Left {
		return fmt.Errorf("%w: state %d", ErrInvalid, u.State)
	}
	// The largest incarnation is rejected because a refutation could not exceed it.
	if u.SinceBorn > u.Incarnation || u.SinceMeta > u.SinceBorn || u.Incarnation == ^uint64(0) {
		return fmt.Errorf("%w: incarnation %d of %q is the largest possible, or its offsets are inconsistent",
			ErrInvalid, u.Incarnation, u.Address)
	}
	i := u.Info
	if i == nil {
		return nil
	}
	if max(len(i.Caller), len(i.Zone), len(i.Region), len(i.Service)) > maxText || i.Slots < 0 || i.Stated > Left {
		return fmt.Errorf("%w: record of %q has a text that is too long, negative slots or an unknown state",
			ErrInvalid, u.Address)
	}
	return nil
}
