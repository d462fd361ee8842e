package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const healthPath = "/healthz"

// run is what a backend did for one request.
type run struct {
	id         string
	path       string
	begin, end time.Time // end is zero while it runs
	dropped    bool      // its connection was closed before the answer
}

// backend is a stand-in for an application backend. It runs requests for a time that their path states, makes at most one call, and
// drops a request whose connection closes.
type backend struct {
	rec      *record
	name     string
	service  string
	slots    int
	address  string
	control  string // of the node on its machine
	outbound string // of the node on its machine, for calls
	born     int64
	sequence atomic.Int64
	server   *http.Server
	stop     context.CancelFunc

	mu    sync.Mutex
	runs  map[string]*run
	calls map[string]answer // that it has made, by ID
}

// plan says how a backend works on a request: after `Before` it makes the call, if there is one, and after the call, or `Before`
// without one, it works for `After` and answers. Clients send it as the last part of the path, in hexadecimal JSON.
type plan struct {
	Before int    `json:"b,omitempty"` // ms
	Call   *plan  `json:"c,omitempty"`
	Route  string `json:"r,omitempty"` // path prefix of the call's route
	After  int    `json:"a,omitempty"` // ms
	Size   int    `json:"s,omitempty"` // bytes of the answer's body; zero: a line of text
}

func (p plan) path(prefix string) string {
	text, _ := json.Marshal(p)
	return fmt.Sprintf("%s%x", prefix, text)
}

func planOf(path string) (p plan) {
	text := path[bytes.LastIndexByte([]byte(path), '/')+1:]
	var raw []byte
	_, _ = fmt.Sscanf(text, "%x", &raw)
	_ = json.Unmarshal(raw, &p)
	return p
}

func startBackend(rec *record, name, service, address, control, outbound string, slots int) (*backend, error) {
	b := &backend{
		rec: rec, name: name, service: service, address: address, control: control, outbound: outbound, slots: slots,
		born: time.Now().UnixMilli(), runs: map[string]*run{}, calls: map[string]answer{},
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	b.stop = cancel
	b.server = &http.Server{Handler: http.HandlerFunc(b.serve), IdleTimeout: 10 * time.Second}
	go func() { _ = b.server.Serve(l) }()
	go b.beat(ctx)
	return b, nil
}

func (b *backend) beat(ctx context.Context) {
	for {
		body, _ := json.Marshal(map[string]any{
			"address": b.address, "born": b.born,
			"info":   map[string]any{"service": b.service, "version": "v1", "zone": "lab-a", "capacity": b.slots},
			"status": map[string]any{"phase": "ready", "sequence": b.sequence.Add(1), "warmup_left_s": 0},
		})
		ctx2, cancel := context.WithTimeout(ctx, time.Second)
		req, _ := http.NewRequestWithContext(ctx2, http.MethodPost, "http://"+b.control+words["beat"]+b.name, bytes.NewReader(body))
		req.Header.Set("Content-Type", "application/json")
		if resp, err := http.DefaultClient.Do(req); err == nil {
			_ = resp.Body.Close()
		}
		cancel()
		select {
		case <-ctx.Done():
			return
		case <-time.After(1500 * time.Millisecond):
		}
	}
}

func (b *backend) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(words["attempt"])
	if r.URL.Path == healthPath {
		w.Header().Set(words["instance"], b.name)
		return
	}
	if id == "" {
		w.Header().Set(words["not_run"], "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.Header().Set(words["attempt"], id)
	if want := r.Header.Get(words["expect"]); want != "" && want != b.name {
		w.Header().Set(words["instance"], b.name)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	now := time.Now()
	x := &run{id: id, path: r.URL.Path, begin: now}
	b.mu.Lock()
	again := b.runs[id] != nil
	b.runs[id] = x
	b.mu.Unlock()
	b.rec.printf("backend %s (%s) runs %s, again %v, time left %s ms, caller service %s", b.name, b.service, id, again,
		r.Header.Get(words["time_left"]), r.Header.Get(words["caller"]))
	ctx := r.Context()
	if ms, err := time.ParseDuration(r.Header.Get(words["time_left"]) + "ms"); err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, ms)
		defer cancel()
	}
	status := b.work(ctx, id, planOf(r.URL.Path), now)
	b.mu.Lock()
	x.end = time.Now()
	x.dropped = r.Context().Err() != nil
	dropped := x.dropped
	b.mu.Unlock()
	if dropped {
		b.rec.printf("backend %s drops %s after %.3f s: its connection was closed", b.name, id, time.Since(now).Seconds())
		return
	}
	b.rec.printf("backend %s answers %s with %d after %.3f s", b.name, id, status, time.Since(now).Seconds())
	w.Header().Set(words["stamp"], b.name+"."+id)
	if p := planOf(r.URL.Path); p.Size > 0 {
		w.Header().Set("Content-Length", fmt.Sprint(p.Size))
		w.WriteHeader(status)
		_, _ = w.Write(make([]byte, p.Size))
		return
	}
	w.WriteHeader(status)
	_, _ = fmt.Fprintf(w, "answer of %s to %s\n", b.name, id)
}

// work returns the status of the answer.
func (b *backend) work(ctx context.Context, id string, p plan, began time.Time) int {
	if !sleep(ctx, time.Duration(p.Before)*time.Millisecond) {
		return http.StatusGatewayTimeout
	}
	if p.Call != nil {
		c := &client{rec: b.rec, name: "backend " + b.name, address: b.outbound}
		a := c.once(ctx, id+".1", http.MethodGet, p.Call.path(p.Route), time.Until(deadline(ctx, began)))
		b.mu.Lock()
		b.calls[id+".1"] = a
		b.mu.Unlock()
		if a.status != http.StatusOK {
			return http.StatusInternalServerError
		}
	}
	if !sleep(ctx, time.Duration(p.After)*time.Millisecond) {
		return http.StatusGatewayTimeout
	}
	return http.StatusOK
}

func deadline(ctx context.Context, began time.Time) time.Time {
	if d, ok := ctx.Deadline(); ok {
		return d
	}
	return began.Add(10 * time.Second)
}

func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// all returns copies of the runs.
func (b *backend) all() []run {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []run
	for _, x := range b.runs {
		out = append(out, *x)
	}
	return out
}

func (b *backend) close() {
	b.stop()
	_ = b.server.Close()
}
