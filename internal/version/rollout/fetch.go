package rollout

import (
	"maps"
	"slices"
	"time"
)

// maybePoll reads the head row: the first members of the zone by rank regularly, the others when evidence gets stale, one
// after the other, so that a slow platform is not met by a read of every node.
func (m *Machine) maybePoll() {
	every := pollInterval
	if m.rank >= pollersPerZone {
		wait := firstStaleAge + staleAgeStep*time.Duration(m.rank-pollersPerZone)
		since := m.started
		if m.freshKnown {
			since = m.freshAt
		}
		if m.now-since < wait {
			return
		}
		if m.pollFailed {
			every = failedPollInterval
		}
	} else if m.freshKnown && m.now-m.freshAt < pollInterval/pollersPerZone+pollStagger*time.Duration(m.rank) {
		return // keeps the pollers from reading all at once
	}
	if m.polling || m.polled && m.now-m.lastPoll < time.Duration(float64(every)*m.pollJitter) {
		return
	}
	m.polling, m.polled, m.lastPoll = true, true, m.now
	start := m.now
	m.call(Call{Op: OpGet, Key: headKey}, func(r Reply) {
		row, _, err := parseHead(r)
		m.polling, m.pollFailed, m.pollJitter = false, err != nil, 1
		if err != nil {
			m.pollJitter = 0.5 + m.random.Float64()
			return
		}
		m.updateRow(row, "")
		m.updateFreshness(row.Seq, start)
	})
}

// want fetches a body unless it is there or on its way.
func (m *Machine) requestBody(hash, from string) {
	if hash == "" || m.bodies[hash] != nil {
		return
	}
	f := m.fetches[hash]
	if f == nil {
		f = &bodyFetch{nextTry: m.now}
		m.fetches[hash] = f
	}
	if from != "" && !slices.Contains(f.from, from) && len(f.from) < 3 {
		f.from = append(f.from, from)
	}
	if f.tries == 0 && from != "" {
		m.tryFetch(hash, f)
	}
}

func (m *Machine) retryFetches() {
	for _, hash := range slices.Sorted(maps.Keys(m.fetches)) {
		if f := m.fetches[hash]; m.now >= f.nextTry {
			m.tryFetch(hash, f)
		}
	}
}

// tryFetch asks the peers that named the body first, then the object store and the neighbours in turn.
func (m *Machine) tryFetch(hash string, f *bodyFetch) {
	if hash != m.decided.Hash && (m.row.Pending == nil || hash != m.row.Pending.Head.Hash) && !m.neededByChange(hash) {
		delete(m.fetches, hash)
		return
	}
	f.nextTry = m.now + fetchRetryInterval
	f.tries++
	switch n := f.tries - 1; {
	case n < len(f.from):
		m.send(f.from[n], &message{Kind: kindFetch, Hash: hash})
	case n%2 == 0 && len(m.neighbours) > 0:
		m.send(m.neighbours[m.random.IntN(len(m.neighbours))], &message{Kind: kindFetch, Hash: hash})
	default:
		f.nextTry = m.now + callTimeout + fetchRetryInterval
		m.call(Call{Op: OpGetObject, Key: hash}, func(r Reply) {
			if r.Err == nil && Hash(r.Body) == hash {
				m.storeBody(hash, r.Body)
			} else {
				f.nextTry = m.now + fetchRetryInterval
			}
		})
	}
}

func (m *Machine) storeBody(hash string, body []byte) {
	delete(m.fetches, hash)
	if m.bodies[hash] != nil {
		return
	}
	m.bodies[hash] = body
	m.bodyOrder = append(m.bodyOrder, hash)
	for i := 0; len(m.bodyOrder) > maxBodies && i < len(m.bodyOrder); {
		h := m.bodyOrder[i]
		if h == m.running.Hash || h == m.decided.Hash || h == hash || m.neededByChange(h) ||
			(m.row.Pending != nil && h == m.row.Pending.Head.Hash) {
			i++
			continue
		}
		delete(m.bodies, h)
		m.bodyOrder = slices.Delete(m.bodyOrder, i, i+1)
	}
}
