package membership

import (
	"encoding/binary"
	"fmt"
	"net/netip"
)

// maxTexts bounds the table of strings that the records of one message share.
const maxTexts = 1024

// packed is the compact wire form of updates, which make up nearly all traffic of a join and of a healing partition.
// Records are encoded as arrays, share a table of strings, and have incarnations relative to the first one.
type packed struct {
	_       struct{} `cbor:",toarray"`
	Base    uint64   // incarnation of the first record
	Texts   []string // zones, regions and services
	Records []packedUpdate
}

// packedUpdate is the wire form of an Update. An IPv4 address takes 6 bytes in IPv4; any other one is in Name.
type packedUpdate struct {
	_     struct{} `cbor:",toarray"`
	IPv4  []byte
	Name  string
	State State
	Delta int64    // incarnation minus Base
	Since []uint64 // SinceBorn and SinceMeta, or empty
	Age   uint32
	Info  *packedInfo
}

// packedInfo is the wire form of an Info. If the caller interface is at the member's own IPv4 address, only its port is
// encoded, in Port; any other address is in Caller.
type packedInfo struct {
	_                     struct{} `cbor:",toarray"`
	Port                  []byte
	Caller                string
	Instance              uint64
	Zone, Region, Service uint16 // indexes into packed.Texts
	Slots                 int
	Stated                State
}

// packer builds the table of strings that records share.
type packer struct {
	indexes map[string]uint16
	texts   []string
}

func pack(updates []Update) *packed {
	if len(updates) == 0 {
		return nil
	}
	t := &packer{indexes: map[string]uint16{}}
	out := &packed{Base: updates[0].Incarnation, Records: make([]packedUpdate, len(updates))}
	for i := range updates {
		out.Records[i] = t.packUpdate(&updates[i], out.Base)
	}
	out.Texts = t.texts
	return out
}

func (t *packer) textIndex(s string) uint16 {
	n, ok := t.indexes[s]
	if !ok {
		n = uint16(len(t.texts)) // no overflow: a message has too few records for that
		t.indexes[s] = n
		t.texts = append(t.texts, s)
	}
	return n
}

func (t *packer) packUpdate(u *Update, base uint64) packedUpdate {
	out := packedUpdate{State: u.State, Delta: int64(u.Incarnation - base), Age: u.Age}
	at, ok := parseIPv4(u.Address)
	if ok {
		out.IPv4, _ = at.MarshalBinary()
	} else {
		out.Name = u.Address
	}
	if u.SinceBorn|u.SinceMeta != 0 {
		out.Since = []uint64{u.SinceBorn, u.SinceMeta}
	}
	if u.Info != nil {
		out.Info = t.packInfo(u.Info, at)
	}
	return out
}

// packInfo packs an Info. at is the member's address, or the zero AddrPort if that is not IPv4.
func (t *packer) packInfo(i *Info, at netip.AddrPort) *packedInfo {
	out := &packedInfo{
		Instance: i.Instance, Zone: t.textIndex(i.Zone), Region: t.textIndex(i.Region), Service: t.textIndex(i.Service),
		Slots: i.Slots, Stated: i.Stated,
	}
	if caller, ok := parseIPv4(i.Caller); ok && caller.Addr() == at.Addr() {
		out.Port = binary.BigEndian.AppendUint16(nil, caller.Port())
	} else {
		out.Caller = i.Caller
	}
	return out
}

// parseIPv4 parses an IPv4 address and port in canonical form, which unpacking restores exactly. It returns the zero
// AddrPort for any other address.
func parseIPv4(s string) (netip.AddrPort, bool) {
	a, err := netip.ParseAddrPort(s)
	if err != nil || !a.Addr().Is4() || a.String() != s {
		return netip.AddrPort{}, false
	}
	return a, true
}

// unpack decodes the updates. It does not validate their values; Decode does.
func (p *packed) unpack() ([]Update, error) {
	if p == nil {
		return nil, nil
	}
	if len(p.Texts) > maxTexts || len(p.Records) > maxUpdates {
		return nil, fmt.Errorf("%w: %d texts and %d records", ErrInvalid, len(p.Texts), len(p.Records))
	}
	updates := make([]Update, len(p.Records))
	for i := range p.Records {
		u, err := p.unpackUpdate(&p.Records[i])
		if err != nil {
			return nil, err
		}
		updates[i] = u
	}
	return updates, nil
}

func (p *packed) unpackUpdate(r *packedUpdate) (Update, error) {
	u := Update{Address: r.Name, Incarnation: p.Base + uint64(r.Delta), State: r.State, Age: r.Age}
	var at netip.AddrPort
	if len(r.IPv4) != 0 {
		if err := at.UnmarshalBinary(r.IPv4); err != nil || !at.Addr().Is4() {
			return u, fmt.Errorf("%w: IPv4 address and port of %d bytes", ErrInvalid, len(r.IPv4))
		}
		u.Address = at.String()
	}
	switch len(r.Since) {
	case 0:
	case 2:
		u.SinceBorn, u.SinceMeta = r.Since[0], r.Since[1]
	default:
		return u, fmt.Errorf("%w: %d incarnation offsets of %q", ErrInvalid, len(r.Since), u.Address)
	}
	if r.Info == nil {
		return u, nil
	}
	info, err := p.unpackInfo(r.Info, at)
	if err != nil {
		return u, fmt.Errorf("record of %q: %w", u.Address, err)
	}
	u.Info = info
	return u, nil
}

func (p *packed) unpackInfo(r *packedInfo, at netip.AddrPort) (*Info, error) {
	if int(max(r.Zone, r.Region, r.Service)) >= len(p.Texts) {
		return nil, fmt.Errorf("%w: text index out of range of %d texts", ErrInvalid, len(p.Texts))
	}
	i := &Info{
		Caller: r.Caller, Instance: r.Instance, Zone: p.Texts[r.Zone], Region: p.Texts[r.Region], Service: p.Texts[r.Service],
		Slots: r.Slots, Stated: r.Stated,
	}
	if len(r.Port) != 0 {
		if len(r.Port) != 2 || !at.IsValid() {
			return nil, fmt.Errorf("%w: caller port of %d bytes instead of 2, or without an IPv4 address",
				ErrInvalid, len(r.Port))
		}
		i.Caller = netip.AddrPortFrom(at.Addr(), binary.BigEndian.Uint16(r.Port)).String()
	}
	return i, nil
}
