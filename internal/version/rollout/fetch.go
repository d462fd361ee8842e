package rollout

import (
	"maps"
	"slices"
	"time"
)

// maybePoll reads the head row: the first members of the zone by rank regularly, the others when evidence gets stale, one
// after the other, so that a slow platform is not met by a read of every node.
func (m *Machine) maybePoll() {
	every := pollEvery
	if m.rank >= pollers {
		wait := staleAfter + staleStep*time.Duration(m.rank-pollers)
		since := m.started
		if m.proof {
			since = m.fresh
		}
		if m.now-since < wait {
			return
		}
		if m.pollFailed {
			every = pollRetry
		}
	} else if m.proof && m.now-m.fresh < pollEvery/pollers+pollStagger*time.Duration(m.rank) {
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
			m.pollJitter = 0.5 + m.rnd.Float64()
			return
		}
		m.takeRow(row, "")
		m.takeFresh(row.Seq, start)
	})
}

// want fetches a body unless it is there or on its way.
func (m *Machine) want(hash, from string) {
	if hash == "" || m.bodies[hash] != nil {
		return
	}
	f := m.fetches[hash]
	if f == nil {
		f = &fetch{next: m.now}
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
		if f := m.fetches[hash]; m.now >= f.next {
			m.tryFetch(hash, f)
		}
	}
}

// tryFetch asks the peers that named the body first, then the object store and the neighbours in turn.
func (m *Machine) tryFetch(hash string, f *fetch) {
	if hash != m.decided.Hash && (m.row.Pending == nil || hash != m.row.Pending.Head.Hash) && !m.coordinates(hash) {
		delete(m.fetches, hash)
		return
	}
	f.next = m.now + fetchRetry
	f.tries++
	switch n := f.tries - 1; {
	case n < len(f.from):
		m.send(f.from[n], &message{Kind: kindFetch, Hash: hash})
	case n%2 == 0 && len(m.neighbours) > 0:
		m.send(m.neighbours[m.rnd.IntN(len(m.neighbours))], &message{Kind: kindFetch, Hash: hash})
	default:
		f.next = m.now + callTimeout + fetchRetry
		m.call(Call{Op: OpGetObject, Key: hash}, func(r Reply) {
			if r.Err == nil && Hash(r.Body) == hash {
				m.store(hash, r.Body)
			} else {
				f.next = m.now + fetchRetry
			}
		})
	}
}

func (m *Machine) store(hash string, body []byte) {
	delete(m.fetches, hash)
	if m.bodies[hash] != nil {
		return
	}
	m.bodies[hash] = body
	m.order = append(m.order, hash)
	for i := 0; len(m.order) > maxRunBodies && i < len(m.order); {
		h := m.order[i]
		if h == m.running.Hash || h == m.decided.Hash || h == hash || m.coordinates(h) ||
			(m.row.Pending != nil && h == m.row.Pending.Head.Hash) {
			i++
			continue
		}
		delete(m.bodies, h)
		m.order = slices.Delete(m.order, i, i+1)
	}
}
