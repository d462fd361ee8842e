package membership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an answer to a join that one member sends alone instead of sharing it with others, that the new node
// forwards to its neighbours, or that stays incomplete if one of the members that send it has just died. The new node
// must know all members within 2 s.
func TestJoinIsSpread(t *testing.T) {
	const n = 260
	for seed := range uint64(4) {
		s := newSim(seed, Config{})
		s.cluster(n)
		s.run(3*time.Second, nil)
		if seed%2 == 1 {
			near := s.nodes[1].Neighbours()
			s.processes[near[int(seed)%len(near)]][0].killed = true
		}
		s.measure = true
		s.traffic()
		start := s.now
		joiner := s.start(n, 0, simAddress(1))
		s.require(t, s.run(2*time.Second, func() bool { return len(joiner.members) == n }), "the new node knows all members")
		s.require(t, s.run(2*time.Second, func() bool { return s.all(joiner.address, oneOf(Ready)) }), "all know the new node")
		s.run(time.Second, nil)
		_, most := s.traffic()
		// maxControlTraffic, 4 KB/s. The whole view takes 9 KB, which is too much for one member in the usual time.
		require.Less(t, float64(most.bytes), 4000*s.now.Sub(start).Seconds(), "seed %d", seed)
	}
}

// Guards against a large batch of updates being sent to neighbours that have sent the same updates already. Such
// batches arise when a partition heals, since every member refutes its death.
func TestCrowdedUpdatesAreNotSentTwice(t *testing.T) {
	s := newSim(1, Config{})
	s.cluster(largeBatch + 8)
	m := s.nodes[0]
	near := m.Neighbours()
	updates := make([]Update, 0, largeBatch)
	for _, e := range m.sorted[:largeBatch] {
		u := e.brief()
		u.Incarnation++
		u.SinceBorn, u.SinceMeta = u.SinceBorn+1, u.SinceMeta+1
		updates = append(updates, u)
	}
	m.lastFlush = s.now
	receive := func(now time.Time, from string, some []Update) {
		m.Receive(now, from, &Message{Kind: KindGossip, Incarnation: m.members[from].Incarnation, Updates: some})
	}
	receive(s.now, near[0], updates)
	receive(s.now.Add(m.cfg.BatchDelay), near[1], updates[5:])
	m.Take()
	m.Tick(s.now.Add(largeBatchDelay))
	out, _ := m.Take()
	sent := map[string]int{}
	for _, e := range out {
		if e.Message.Kind == KindGossip {
			sent[e.To] += len(e.Message.Updates)
		}
	}
	require.Zero(t, sent[near[0]])
	require.Equal(t, 5, sent[near[1]])
	require.Equal(t, largeBatch, sent[near[2]])
}
