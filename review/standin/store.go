package main

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// row is a row of the store. Value is base64 in JSON.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver"`
	Dropped bool   `json:"tombstone,omitempty"`
}

type rowsAnswer struct {
	Rows    []row   `json:"rows"`
	More    bool    `json:"has_more"`
	Version uint64  `json:"ver"`
	Now     float64 `json:"now_s"`
}

// store is the platform's metadata store: it answers within milliseconds and loses nothing.
type store struct {
	start time.Time

	mu      sync.Mutex
	rows    []row // the last state of each row, dropped ones included
	version uint64
	changed chan struct{} // closed at the next change
}

func newStore() *store { return &store{start: time.Now(), changed: make(chan struct{})} }

// put writes a row as the operator does.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.applyLocked(row{Table: table, Key: key, Value: value})
}

func (s *store) applyLocked(r row) {
	r.Version = s.version
	s.rows = slices.DeleteFunc(s.rows, func(x row) bool { return x.Table == r.Table && x.Part == r.Part && x.Key == r.Key })
	s.rows = append(s.rows, r)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	status, a := http.StatusNotFound, rowsAnswer{}
	switch r.URL.Path {
	case words.Transaction:
		status, a = s.transact(r)
	case words.Read:
		status, a = s.read(r)
	case words.Feed:
		status, a = s.feed(r)
	}
	a.Now = time.Since(s.start).Seconds()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(a) // fails when the node has left
}

func (s *store) transact(r *http.Request) (int, rowsAnswer) {
	var tx struct{ Expected, Upserts, Deletes []row }
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		return http.StatusBadRequest, rowsAnswer{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range tx.Expected {
		var have uint64
		for _, x := range s.rows {
			if x.Table == e.Table && x.Part == e.Part && x.Key == e.Key && !x.Dropped {
				have = x.Version
			}
		}
		if have != e.Version {
			return http.StatusPreconditionFailed, rowsAnswer{Version: s.version}
		}
	}
	for _, u := range append(tx.Upserts, tx.Deletes...) {
		if u.Table == "op" || u.Table == "servers" {
			return http.StatusForbidden, rowsAnswer{Version: s.version}
		}
	}
	s.version++
	for _, u := range tx.Upserts {
		s.applyLocked(u)
	}
	for _, d := range tx.Deletes {
		d.Dropped = true
		s.applyLocked(d)
	}
	return http.StatusOK, rowsAnswer{Version: s.version}
}

func (s *store) read(r *http.Request) (int, rowsAnswer) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	a := rowsAnswer{Rows: []row{}, Version: s.version}
	for _, x := range slices.SortedFunc(slices.Values(s.rows), func(x, y row) int { return cmp.Compare(x.Key, y.Key) }) {
		if x.Dropped || x.Table != q.Get("table") || x.Part != q.Get("part") || x.Key < q.Get("from") ||
			q.Get("target") != "" && x.Key >= q.Get("target") {
			continue
		}
		if a.More = len(a.Rows) == limit; a.More {
			break
		}
		a.Rows = append(a.Rows, x)
	}
	return http.StatusOK, a
}

func (s *store) feed(r *http.Request) (int, rowsAnswer) {
	q := r.URL.Query()
	after, err1 := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, err2 := strconv.Atoi(q.Get("wait_ms"))
	if err1 != nil || err2 != nil {
		return http.StatusBadRequest, rowsAnswer{}
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		a, changed := rowsAnswer{Rows: []row{}, Version: s.version}, s.changed
		for _, x := range s.rows {
			if x.Table == q.Get("table") && x.Version > after {
				a.Rows = append(a.Rows, x)
			}
		}
		s.mu.Unlock()
		if len(a.Rows) > 0 {
			slices.SortFunc(a.Rows, func(x, y row) int { return cmp.Compare(x.Version, y.Version) })
			return http.StatusOK, a
		}
		select {
		case <-changed:
		case <-timer.C:
			return http.StatusOK, a
		case <-r.Context().Done():
			return http.StatusOK, a
		}
	}
}
