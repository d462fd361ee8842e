package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// heartbeatInterval is the time between two status reports of a backend.
const heartbeatInterval = 1500 * time.Millisecond

// run is one request that a backend has run, or runs.
type run struct {
	attempt  string
	instance string
	began    time.Time
	ended    time.Time // zero: still at work
	complete bool      // the whole answer was written
}

// backend is a sound server: it runs up to its slots at once, queues a few more, rejects the rest, stops at the time budget or
// when its caller's connection closes, and reports its state to the node of its machine.
type backend struct {
	machine  *machine
	instance string
	service  string
	slots    int
	work     time.Duration
	header   http.Header // of its answers, besides those of the protocol
	born     int64

	queue    chan struct{}
	running  chan struct{}
	server   *http.Server
	stopBeat context.CancelFunc
	hold     chan chan []byte

	mu       sync.Mutex
	sequence int64
	phase    string
	runs     []*run
}

func (b *backend) start() error {
	l, err := net.Listen("tcp", b.machine.at(portBackend))
	if err != nil {
		return err
	}
	b.born, b.phase = time.Now().UnixMilli(), "ready"
	b.hold = make(chan chan []byte, 1)
	b.queue, b.running = make(chan struct{}, 2*b.slots), make(chan struct{}, b.slots)
	b.server = &http.Server{Handler: b, IdleTimeout: 10 * time.Second}
	go func() { _ = b.server.Serve(l) }() // returns when the backend exits
	ctx, stop := context.WithCancel(context.Background())
	b.stopBeat = stop
	go b.reportState(ctx)
	return nil
}

// reportState sends a status report every heartbeatInterval. A report that meets no process is not sent again.
func (b *backend) reportState(ctx context.Context) {
	for {
		body := b.nextReport()
		select {
		case held := <-b.hold:
			held <- body
			return
		default:
			_, _ = b.report(body)
		}
		if pause(ctx, heartbeatInterval) != nil {
			return
		}
	}
}

// holdNextReport takes the next status report when it is due and returns it unsent. No further ones are sent.
func (b *backend) holdNextReport(ctx context.Context) ([]byte, error) {
	held := make(chan []byte, 1)
	b.hold <- held
	select {
	case body := <-held:
		return body, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// exit ends the backend: its port refuses connections, and the requests in progress are lost.
func (b *backend) exit() {
	b.stopBeat()
	_ = b.server.Close()
}

// nextReport returns the body of a status report.
func (b *backend) nextReport() []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sequence++
	body, _ := json.Marshal(map[string]any{ // cannot fail for these types
		"address": b.machine.at(portBackend), "born": b.born,
		"info":   map[string]any{"service": b.service, "version": "v1", "zone": b.machine.zone, "capacity": b.slots},
		"status": map[string]any{"phase": b.phase, "sequence": b.sequence, "warmup_left_s": 0},
	})
	return body
}

// report sends a status report to the node of the machine and returns the status of the answer.
func (b *backend) report(body []byte) (int, error) { return b.tell(words.Heartbeat, body) }

// deregister tells the node that the backend leaves.
func (b *backend) deregister() (int, error) {
	body, _ := json.Marshal(map[string]any{"born": b.born})
	return b.tell(words.Deregister, body)
}

func (b *backend) tell(path string, body []byte) (int, error) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Post("http://"+b.machine.at(portControl)+path+b.instance, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	_ = resp.Body.Close()
	return resp.StatusCode, nil
}

func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get(words.Attempt)
	if attempt == "" {
		b.reject(w, "", http.StatusBadRequest)
		return
	}
	if want := r.Header.Get(words.Expected); want != "" && want != b.instance {
		w.Header().Set(words.Attempt, attempt)
		w.Header().Set(words.Instance, b.instance)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	left, err := strconv.Atoi(r.Header.Get(words.TimeLeft))
	if err != nil {
		left = 30_000
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(left)*time.Millisecond)
	defer cancel()
	select {
	case b.queue <- struct{}{}:
	default:
		b.reject(w, attempt, http.StatusServiceUnavailable)
		return
	}
	select {
	case b.running <- struct{}{}:
		<-b.queue
	case <-ctx.Done():
		<-b.queue
		b.reject(w, attempt, http.StatusServiceUnavailable)
		return
	}
	defer func() { <-b.running }()
	b.run(ctx, w, r, attempt, len(body))
}

func (b *backend) run(ctx context.Context, w http.ResponseWriter, r *http.Request, attempt string, size int) {
	x := &run{attempt: attempt, instance: b.instance, began: time.Now()}
	b.mu.Lock()
	b.runs = append(b.runs, x)
	b.mu.Unlock()
	end := func(complete bool) {
		b.mu.Lock()
		defer b.mu.Unlock()
		x.ended, x.complete = time.Now(), complete
	}
	maps.Copy(w.Header(), b.header)
	w.Header().Set(words.Attempt, attempt)
	w.Header().Set(words.Stamp, "stamp-"+attempt)
	select {
	case <-time.After(b.work):
	case <-ctx.Done():
		if r.Context().Err() == nil {
			w.WriteHeader(http.StatusGatewayTimeout)
		}
		end(false)
		return
	}
	_, err := fmt.Fprintf(w, "%s ran %s with %d bytes\n", b.instance, attempt, size)
	end(err == nil)
}

func (b *backend) reject(w http.ResponseWriter, attempt string, status int) {
	w.Header().Set(words.Attempt, attempt)
	w.Header().Set(words.NotExecuted, "1")
	w.WriteHeader(status)
}

// runsSoFar returns copies of all runs in the order in which they began.
func (b *backend) runsSoFar() []run {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]run, 0, len(b.runs))
	for _, x := range b.runs {
		out = append(out, *x)
	}
	return out
}
