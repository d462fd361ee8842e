package rollout

import (
	"encoding/binary"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

func sampleMessages() []*message {
	row := &HeadRow{Seq: 3, Head: VersionInfo{Version: 1, Hash: "h", ID: "a", Author: "ann", Changed: []string{"base.ini"}},
		Pending: &Pending{Head: VersionInfo{Version: 2}, Ballot: 1, FirstSeq: 3}}
	return []*message{
		{Kind: kindState, Epoch: 9, Sent: 1, Seq: 3, Row: row, FreshAt: -5, Rounds: []roundVotes{{1, 2, nil, []byte{0, 1}}, {2, 3, make([]byte, voteBits/8), nil}},
			ZoneVotes: []zoneVote{{"z", 3, 7}}, RolledForward: &row.Head},
		{Kind: kindAsk, Seq: 3, Row: row, Ask: &ask{ID: "a", Ballot: 1, Phase: phaseLock, Members: []string{"n1"}}},
		{Kind: kindAnswer, Answer: &answer{ID: "a", OK: bitSet{1}, Rejections: []Rejection{{"n1", "bad"}}}},
		{Kind: kindFetch, Hash: "h"},
		{Kind: kindBody, Hash: "h", Body: []byte("x")},
	}
}

// Guards against a payload that crashes a node, changes when it is encoded again, or is accepted although it lacks parts.
func FuzzMessage(f *testing.F) {
	for _, m := range sampleMessages() {
		f.Add(m.encode())
	}
	f.Add([]byte{0xa1, 0x01, 0x02})
	f.Add([]byte("not cbor"))
	f.Fuzz(func(t *testing.T, payload []byte) {
		n := New(Config{Address: "n1", Zone: "z", Epoch: 1}, 0)
		n.SetMembers(1, []Member{{Address: "n2", Zone: "z", LastHeard: 1}})
		if err := n.Receive(2, "n2", payload); err != nil {
			require.ErrorIs(t, err, ErrMessage)
			return
		}
		m, err := decodeMessage(payload)
		require.NoError(t, err)
		again, err := decodeMessage(m.encode())
		require.NoError(t, err)
		require.Equal(t, m.encode(), again.encode()) // compares the encodings, in which empty and absent are the same
		n.Tick(200_000_000)
	})
}

// Guards against a bundle with several encodings, and so with several hashes.
func FuzzBundle(f *testing.F) {
	f.Add(must(Bundle{Files: []File{{"b.ini", []byte("1")}, {"a.ini", nil}}}.Encode()))
	f.Add([]byte{0xa1, 0x01, 0x80})
	f.Fuzz(func(t *testing.T, body []byte) {
		b, err := DecodeBundle(body)
		if err != nil {
			require.ErrorIs(t, err, ErrBundle)
			return
		}
		again, err := b.Encode()
		require.NoError(t, err)
		require.Equal(t, body, again)
	})
}

// Guards against a vote that is lost or becomes that of another member on the wire, and against bits outside of the set.
func TestVotesOnTheWire(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 1))
	for _, n := range []int{0, 1, 2, 30, 256, 500, voteBits} {
		var want voteSet
		for len(want.minus(&voteSet{})) < n {
			want.set(uint16(rnd.IntN(voteBits)))
		}
		var r roundVotes
		r.pack(&want, want.minus(&voteSet{}))
		require.True(t, r.valid())
		require.Equal(t, &want, r.votes(), "%d votes", n)
		require.LessOrEqual(t, len(r.Gaps)+len(r.Set), voteBits/8)
	}
	for _, gaps := range [][]byte{{0x80}, {0xff, 0xff, 0x03}, {0xff, 0x0f, 0}, binary.AppendUvarint(nil, 1<<63)} {
		require.False(t, (&roundVotes{Gaps: gaps}).valid(), "%x", gaps)
	}
}
