package membership

import (
	"encoding/binary"
	"fmt"
	"net/netip"
)

// Updates travel in a packed form, because they make up nearly all bytes of a join and of a partition that heals. It
// starts with the first incarnation and the texts that the records share, such as services and zones. Each record then
// has its flags, its address, the difference of its incarnation to the first one, and what the flags announce. An IPv4
// address with a port takes 6 bytes. A record of TestCapacity has 10 to 20 bytes, with Info 29 to 36.
const (
	packState   = 1<<3 - 1 // bits of the state
	packIPv4    = 1 << 3   // the address is IPv4
	packSince   = 1 << 4   // SinceBorn and SinceMeta follow
	packAge     = 1 << 5
	packInfo    = 1 << 6
	packUnknown = 1 << 7

	packCallerPort = 1 << 0 // the caller interface has the same IPv4 address, and its port follows
	packStated     = 1 << 1
	packUnused     = ^byte(packCallerPort | packStated)
)

// maxTexts bounds the texts that the records of one message share.
const maxTexts = 1024

// packer builds the packed form.
type packer struct {
	texts map[string]uint64
	list  []string
	out   []byte
}

func pack(updates []Update) []byte {
	if len(updates) == 0 {
		return nil
	}
	p := &packer{texts: map[string]uint64{}}
	for i := range updates {
		p.update(&updates[i], updates[0].Incarnation)
	}
	head := binary.AppendUvarint(nil, updates[0].Incarnation)
	head = binary.AppendUvarint(head, uint64(len(p.list)))
	for _, s := range p.list {
		head = appendText(head, s)
	}
	return append(head, p.out...)
}

func appendText(b []byte, s string) []byte {
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}

// shared appends the number of a text that records share.
func (p *packer) shared(s string) {
	n, ok := p.texts[s]
	if !ok {
		n = uint64(len(p.list))
		p.texts[s] = n
		p.list = append(p.list, s)
	}
	p.number(n)
}

func (p *packer) number(n uint64) { p.out = binary.AppendUvarint(p.out, n) }

func (p *packer) update(u *Update, base uint64) {
	at, isIPv4 := parseIPv4(u.Address)
	flags := byte(u.State)&packState | bitIf(isIPv4, packIPv4) | bitIf(u.SinceBorn|u.SinceMeta != 0, packSince) |
		bitIf(u.Age != 0, packAge) | bitIf(u.Info != nil, packInfo)
	p.out = append(p.out, flags)
	if isIPv4 {
		ip := at.Addr().As4()
		p.out = binary.BigEndian.AppendUint16(append(p.out, ip[:]...), at.Port())
	} else {
		p.out = appendText(p.out, u.Address)
	}
	p.out = binary.AppendVarint(p.out, int64(u.Incarnation-base))
	if flags&packSince != 0 {
		p.number(u.SinceBorn)
		p.number(u.SinceMeta)
	}
	if flags&packAge != 0 {
		p.number(uint64(u.Age))
	}
	if u.Info != nil {
		p.info(u.Info, at, isIPv4)
	}
}

func bitIf(set bool, bit byte) byte {
	if set {
		return bit
	}
	return 0
}

func (p *packer) info(i *Info, at netip.AddrPort, isIPv4 bool) {
	caller, ok := parseIPv4(i.Caller)
	ok = ok && isIPv4 && caller.Addr() == at.Addr()
	p.out = append(p.out, bitIf(ok, packCallerPort)|bitIf(i.Stated != 0, packStated))
	if ok {
		p.out = binary.BigEndian.AppendUint16(p.out, caller.Port())
	} else {
		p.out = appendText(p.out, i.Caller)
	}
	p.out = binary.BigEndian.AppendUint64(p.out, i.Instance)
	p.shared(i.Zone)
	p.shared(i.Region)
	p.shared(i.Service)
	p.number(uint64(i.Slots))
	if i.Stated != 0 {
		p.out = append(p.out, byte(i.Stated))
	}
}

// parseIPv4 parses an address that has the usual form, so that it can be restored exactly.
func parseIPv4(s string) (netip.AddrPort, bool) {
	a, err := netip.ParseAddrPort(s)
	return a, err == nil && a.Addr().Is4() && a.String() == s
}

// unpacker reads the packed form. After the first fault it returns zero values.
type unpacker struct {
	in    []byte
	bad   bool
	texts []string
}

func unpack(b []byte) ([]Update, error) {
	if len(b) == 0 {
		return nil, nil
	}
	p := &unpacker{in: b}
	base := p.number()
	n := p.number()
	if n > maxTexts {
		return nil, fmt.Errorf("%w: %d texts", ErrInvalid, n)
	}
	for range n {
		p.texts = append(p.texts, p.text())
	}
	var updates []Update
	for len(p.in) > 0 && !p.bad {
		if len(updates) == maxUpdates {
			return nil, fmt.Errorf("%w: more than %d updates", ErrInvalid, maxUpdates)
		}
		updates = append(updates, p.update(base))
	}
	if p.bad {
		return nil, fmt.Errorf("%w: packed updates", ErrInvalid)
	}
	return updates, nil
}

// take returns the next n bytes, or n zero bytes after the end. n is small and does not come from the message.
func (p *unpacker) take(n int) []byte {
	if len(p.in) < n {
		p.bad, p.in = true, nil
		return make([]byte, n)
	}
	b := p.in[:n]
	p.in = p.in[n:]
	return b
}

func (p *unpacker) number() uint64 {
	v, n := binary.Uvarint(p.in)
	return advanced(p, v, n)
}

// advanced skips the n bytes of a number and returns it.
func advanced[T int64 | uint64](p *unpacker, v T, n int) T {
	if n <= 0 {
		p.bad, p.in = true, nil
		return 0
	}
	p.in = p.in[n:]
	return v
}

func (p *unpacker) text() string {
	n := p.number()
	if n > maxText || n > uint64(len(p.in)) {
		p.bad, p.in = true, nil
		return ""
	}
	return string(p.take(int(n)))
}

func (p *unpacker) shared() string {
	n := p.number()
	if n >= uint64(len(p.texts)) {
		p.bad = true
		return ""
	}
	return p.texts[n]
}

func (p *unpacker) ipv4() netip.AddrPort {
	b := p.take(6)
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b)), binary.BigEndian.Uint16(b[4:]))
}

func (p *unpacker) update(base uint64) Update {
	var u Update
	flags := p.take(1)[0]
	p.bad = p.bad || flags&packUnknown != 0
	u.State = State(flags & packState)
	var at netip.AddrPort
	if flags&packIPv4 != 0 {
		at = p.ipv4()
		u.Address = at.String()
	} else {
		u.Address = p.text()
	}
	delta, n := binary.Varint(p.in)
	u.Incarnation = base + uint64(advanced(p, delta, n))
	if flags&packSince != 0 {
		u.SinceBorn = p.number()
		u.SinceMeta = p.number()
	}
	if flags&packAge != 0 {
		u.Age = uint32(min(p.number(), 1<<32-1))
	}
	if flags&packInfo != 0 {
		u.Info = p.info(at)
	}
	return u
}

func (p *unpacker) info(at netip.AddrPort) *Info {
	i := &Info{}
	flags := p.take(1)[0]
	p.bad = p.bad || flags&packUnused != 0 || flags&packCallerPort != 0 && !at.IsValid()
	if flags&packCallerPort != 0 {
		i.Caller = netip.AddrPortFrom(at.Addr(), binary.BigEndian.Uint16(p.take(2))).String()
	} else {
		i.Caller = p.text()
	}
	i.Instance = binary.BigEndian.Uint64(p.take(8))
	i.Zone, i.Region, i.Service = p.shared(), p.shared(), p.shared()
	slots := p.number()
	if i.Slots = int(slots); uint64(i.Slots) != slots {
		p.bad = true
	}
	if flags&packStated != 0 {
		i.Stated = State(p.take(1)[0])
	}
	return i
}
