package rollout

import (
	"maps"
	"slices"
	"time"
)

// maybePoll reads the head row if a read is due. The first members of the availability zone by rank read regularly. The
// others read when their evidence is stale, one after the other, so that they do not overload a slow platform.
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
		return // so that the pollers do not read all at once
	}
	if m.polling || m.polled && m.now-m.lastPoll < time.Duration(float64(every)*m.pollJitter) {
		return
	}
	m.polling, m.polled, m.lastPoll = true, true, m.now
	start := m.now
	m.call(Call{Op: OpGet, Key: headKey}, func(r Reply) {
		read, err := m.headRead(r, start)
		m.polling, m.pollFailed, m.pollJitter = false, err != nil, 1
		if err != nil {
			m.pollJitter = 0.5 + m.random.Float64()
			return
		}
		if read.lost {
			m.repairHead(read)
		}
	})
}

// requestBody fetches a body, unless this node has it or is fetching it. The source is a peer that named the body, if not
// empty.
func (m *Machine) requestBody(hash, source string) {
	if hash == "" || m.bodies[hash] != nil {
		return
	}
	f := m.fetches[hash]
	if f == nil {
		f = &bodyFetch{nextTry: m.now}
		m.fetches[hash] = f
	}
	if source != "" && !slices.Contains(f.sources, source) && len(f.sources) < 3 {
		f.sources = append(f.sources, source)
	}
	if f.tries == 0 && source != "" {
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

// tryFetch makes the next try to get a body: first from the peers that named it, then from the object store and a random
// neighbour in turn. It gives up a body that is not needed any more.
func (m *Machine) tryFetch(hash string, f *bodyFetch) {
	if hash != m.decided.Hash && !m.row.Pending.names(hash) && !m.neededByChange(hash) {
		delete(m.fetches, hash)
		return
	}
	f.nextTry = m.now + fetchRetryInterval
	f.tries++
	switch n := f.tries - 1; {
	case n < len(f.sources):
		m.send(f.sources[n], &message{Kind: kindFetch, Hash: hash})
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

// storeBody keeps a body, and evicts the oldest ones above maxBodies that are not needed.
func (m *Machine) storeBody(hash string, body []byte) {
	delete(m.fetches, hash)
	if m.bodies[hash] != nil {
		return
	}
	m.bodies[hash] = body
	m.bodyOrder = append(m.bodyOrder, hash)
	for i := 0; len(m.bodyOrder) > maxBodies && i < len(m.bodyOrder); {
		h := m.bodyOrder[i]
		if h == m.running.Hash || h == m.decided.Hash || h == hash || m.neededByChange(h) || m.row.Pending.names(h) {
			i++
			continue
		}
		delete(m.bodies, h)
		m.bodyOrder = slices.Delete(m.bodyOrder, i, i+1)
	}
}
