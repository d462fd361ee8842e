package membership

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func sampleMember() *Member {
	return &Member{
		Address: "10.11.12.13:7400", Caller: "10.11.12.13:8000", Instance: 1 << 63, Incarnation: 1_800_000_000_123,
		Born: 1_800_000_000_120, Meta: 1_800_000_000_121, Zone: "zone-4", Region: "region-1", Service: "stock-ordering",
		Slots: 40, State: Suspect, Stated: Ready,
	}
}

func sampleMessages() []*Message {
	m := sampleMember()
	return []*Message{
		{Kind: KindPing, Incarnation: m.Incarnation, Seq: 70_000},
		{Kind: KindAck, Incarnation: m.Incarnation, Seq: 70_000, Target: m.Address},
		{Kind: KindGossip, Incarnation: m.Incarnation, Updates: []Update{m.brief()}},
		{Kind: KindSync, Incarnation: m.Incarnation, Updates: []Update{m.full()}, Last: true},
		{Kind: KindBuckets, Incarnation: m.Incarnation, Buckets: make([]byte, buckets*bucketBytes)},
		{Kind: KindSummary, Incarnation: m.Incarnation, Mask: 5, Updates: []Update{m.brief()}},
		{Kind: KindWant, Incarnation: m.Incarnation, Wants: []string{m.Address}},
		{Kind: KindDigest, Incarnation: m.Incarnation, Hash: 77},
	}
}

// Guards against fields that are lost in encoding, and against gossip of one update that takes more than 50 bytes
// without Info or 130 bytes with it.
func TestMessageRoundTrip(t *testing.T) {
	for _, want := range sampleMessages() {
		b, err := want.Encode()
		require.NoError(t, err)
		got, err := Decode(b)
		require.NoError(t, err)
		require.Equal(t, want, got)
	}
	m := sampleMember()
	full, brief := m.full(), m.brief()
	b, _ := (&Message{Kind: KindGossip, Updates: []Update{brief}}).Encode()
	require.LessOrEqual(t, len(b), 50)
	b, _ = (&Message{Kind: KindGossip, Updates: []Update{full}}).Encode()
	require.LessOrEqual(t, len(b), 130)
}

// Guards against records that packing changes: addresses that are not IPv4 or not in canonical form, caller interfaces
// on another host, numbers at their limits, and strings that records share.
func TestPackedRecordsStayTheSame(t *testing.T) {
	addresses := []string{"10.0.0.1:7400", "10.0.0.1:07400", "0.0.0.0:0", "[fd00::1]:7400", "[::ffff:10.0.0.1]:7400", "node-1:7400", "x"}
	texts := []string{"", "a", "zone-4", strings.Repeat("z", maxText)}
	rapid.Check(t, func(t *rapid.T) {
		updates := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Update {
			incarnation := rapid.Uint64Max(1<<64-2).Draw(t, "incarnation")
			born := rapid.Uint64Max(incarnation).Draw(t, "born")
			u := Update{
				Address: rapid.SampledFrom(addresses).Draw(t, "address"), Incarnation: incarnation, SinceBorn: born,
				SinceMeta: rapid.Uint64Max(born).Draw(t, "meta"), Age: rapid.Uint32().Draw(t, "age"),
				State: State(rapid.IntRange(int(Joining), int(Left)).Draw(t, "state")),
			}
			if rapid.Bool().Draw(t, "info") {
				text := func() string { return rapid.SampledFrom(texts).Draw(t, "text") }
				u.Info = &Info{
					Caller: rapid.SampledFrom(append(addresses, "")).Draw(t, "caller"), Instance: rapid.Uint64().Draw(t, "instance"),
					Zone: text(), Region: text(), Service: text(), Slots: rapid.IntMin(0).Draw(t, "slots"),
					Stated: State(rapid.IntRange(0, int(Left)).Draw(t, "stated")),
				}
			}
			return u
		}), 1, 20).Draw(t, "updates")
		b, err := (&Message{Kind: KindSync, Updates: updates}).Encode()
		require.NoError(t, err)
		got, err := Decode(b)
		require.NoError(t, err)
		require.Equal(t, updates, got.Updates)
	})
}

// Guards against an answer to a join that is too large: at 2,300 members the whole view must not exceed 30 s of the
// traffic limit of 4 KB/s, and each message must fit into 16 KiB.
func TestPackedSize(t *testing.T) {
	size := 0
	for _, b := range joinAnswer(2300) {
		require.LessOrEqual(t, len(b), 16<<10)
		size += len(b)
	}
	require.LessOrEqual(t, size, 30*4000)
}

// Guards against messages that make a node allocate without bound, or that create a record that cannot be refuted.
func TestDecodeRejects(t *testing.T) {
	change := func(f func(*Update)) *Message {
		u := sampleMember().full()
		f(&u)
		return &Message{Kind: KindGossip, Updates: []Update{u}}
	}
	for name, m := range map[string]*Message{
		"kind":        {Kind: kindEnd},
		"buckets":     {Kind: KindBuckets, Buckets: []byte{1}},
		"address":     change(func(u *Update) { u.Address = "" }),
		"state":       change(func(u *Update) { u.State = 0 }),
		"incarnation": change(func(u *Update) { u.Incarnation = ^uint64(0) }),
		"born":        change(func(u *Update) { u.SinceBorn = u.Incarnation + 1 }),
		"text":        change(func(u *Update) { u.Info.Zone = strings.Repeat("z", maxText+1) }),
		"slots":       change(func(u *Update) { u.Info.Slots = -1 }),
	} {
		b, err := m.Encode()
		require.NoError(t, err)
		_, err = Decode(b)
		require.ErrorIs(t, err, ErrInvalid, name)
	}
	_, err := Decode(make([]byte, maxMessage+1))
	require.ErrorIs(t, err, ErrInvalid)
}

// Guards against panics of the decoder and of the machine on messages that a faulty peer sends.
func FuzzReceive(f *testing.F) {
	for _, m := range sampleMessages() {
		b, err := m.Encode()
		require.NoError(f, err)
		f.Add(b)
	}
	f.Add([]byte{0xa1, 0x01, 0x18})
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := Decode(b)
		if err != nil {
			return
		}
		s := newSim(1, Config{})
		s.cluster(3)
		n := s.nodes[0]
		for range 2 {
			n.Receive(s.now, simAddress(1), m)
			n.Tick(s.now.Add(simTick))
		}
		out, _ := n.Take()
		for _, e := range out {
			_, err := e.Message.Encode()
			require.NoError(t, err)
		}
		require.NotContains(t, n.members, n.address)
	})
}
