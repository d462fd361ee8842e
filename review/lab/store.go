package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's metadata store: transactions, reads and the feed of changes. It keeps all history.
type store struct {
	mu      sync.Mutex
	version uint64
	rows    map[rowKey]row
	changes []row
	changed chan struct{} // closed and replaced at each change
	started time.Time
}

type rowKey struct{ table, part, key string }

type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver"`
	Dropped bool   `json:"tombstone,omitempty"`
}

func (r row) id() rowKey { return rowKey{r.Table, r.Part, r.Key} }

func newStore() *store {
	return &store{rows: map[rowKey]row{}, changed: make(chan struct{}), started: time.Now()}
}

type transaction struct {
	Expected []row `json:"expected"`
	Upserts  []row `json:"upserts"`
	Deletes  []row `json:"deletes"`
}

// apply performs a transaction and reports whether its conditions held.
func (s *store) apply(tx transaction) (current []row, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ok = true
	for _, e := range tx.Expected {
		have := s.rows[e.id()]
		if have.Version != e.Version {
			ok = false
		}
		if have.Version != 0 {
			current = append(current, have)
		}
	}
	if !ok {
		return current, false
	}
	s.version++
	for _, r := range tx.Upserts {
		r.Version = s.version
		s.rows[r.id()] = r
		s.changes = append(s.changes, r)
	}
	for _, r := range tx.Deletes {
		if _, exists := s.rows[r.id()]; exists {
			delete(s.rows, r.id())
			r.Version, r.Value, r.Dropped = s.version, nil, true
			s.changes = append(s.changes, r)
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return nil, true
}

func (s *store) put(table, key string, value []byte) {
	s.apply(transaction{Upserts: []row{{Table: table, Key: key, Value: value}}})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	switch r.URL.Path {
	case words["tx"]:
		var tx transaction
		if json.NewDecoder(r.Body).Decode(&tx) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		rows, ok := s.apply(tx)
		status := http.StatusOK
		if !ok {
			status = http.StatusPreconditionFailed
		}
		s.answer(w, status, rows, false)
	case words["get"]:
		rows, more := s.read(q.Get("table"), q.Get("part"), q.Get("from"), q.Get("target"), q.Get("limit"))
		s.answer(w, http.StatusOK, rows, more)
	case words["feed"]:
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		s.answer(w, http.StatusOK, s.follow(r, q.Get("table"), after, time.Duration(wait)*time.Millisecond), false)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) answer(w http.ResponseWriter, status int, rows []row, more bool) {
	s.mu.Lock()
	version := s.version
	s.mu.Unlock()
	if rows == nil {
		rows = []row{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows": rows, "has_more": more, "ver": version, "now_s": time.Since(s.started).Seconds(),
	})
}

func (s *store) read(table, part, from, target, limit string) (rows []row, more bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.rows {
		if r.Table == table && r.Part == part && r.Key >= from && (target == "" || r.Key < target) {
			rows = append(rows, r)
		}
	}
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	n, err := strconv.Atoi(limit)
	if err != nil || n > 500 || n <= 0 {
		n = 500
	}
	if len(rows) > n {
		return rows[:n], true
	}
	return rows, false
}

func (s *store) follow(r *http.Request, table string, after uint64, wait time.Duration) []row {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		var out []row
		for _, c := range s.changes {
			if c.Table == table && c.Version > after {
				out = append(out, c)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(out) > 0 {
			return out
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil
		case <-r.Context().Done():
			return nil
		}
	}
}
