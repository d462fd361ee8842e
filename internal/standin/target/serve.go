package target

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
)

// Answer is the body of a target's response. It identifies the request, so that callers can detect the response to another
// request.
type Answer struct {
	Service   string `json:"service"`
	RequestID string `json:"request_id"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	BodyHash  string `json:"body_sha256"` // of the request's body
	Error     string `json:"error,omitempty"`
}

var (
	errQueueFull = errors.New("queue full")
	errStarting  = errors.New("starting")
	// errCallNotRun reports that a call was provably not run and so had no effects.
	errCallNotRun = errors.New("not run")
)

func (t *Target) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/health", t.serveHealth)
	mux.HandleFunc("GET /-/load", t.serveLoad)
	mux.HandleFunc("GET /-/executions", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, t.Executions())
	})
	mux.HandleFunc("/", t.serve)
	return mux
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

func (t *Target) serve(w http.ResponseWriter, r *http.Request) {
	// The HTTP server detects that the client closed the connection only after the body has been read.
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	id, _, _ := message.ParseTraceparent(r.Header.Get(message.HeaderTraceparent))
	sum := sha256.Sum256(body)
	a := Answer{
		Service: t.opts.Service, RequestID: id.String(), Method: r.Method, Path: r.URL.RequestURI(),
		BodyHash: hex.EncodeToString(sum[:]),
	}
	ctx, cancel := withTimeout(r)
	defer cancel()
	status, err := t.execute(ctx, r, a)
	if err != nil {
		a.Error = err.Error()
	}
	if status == http.StatusServiceUnavailable {
		w.Header().Set(message.HeaderRetryAfter, "1")
	}
	if hadNoEffects(err) {
		w.Header().Set(message.HeaderDeclined, message.Declined)
	}
	writeJSON(w, status, a)
}

// withTimeout returns the context of a request, bounded by the timeout in the caller's header if there is one.
func withTimeout(r *http.Request) (context.Context, context.CancelFunc) {
	ms, err := strconv.Atoi(r.Header.Get(message.HeaderTimeout))
	if err != nil || ms < 0 {
		return r.Context(), func() {}
	}
	return context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
}

// execute waits for a slot, runs the request and returns the status of the response.
func (t *Target) execute(ctx context.Context, r *http.Request, a Answer) (int, error) {
	if t.State() == Starting {
		return http.StatusServiceUnavailable, errStarting
	}
	if err := t.acquireSlot(ctx); err != nil {
		return statusOf(err), err
	}
	defer t.releaseSlot()
	done := t.executionLog.begin(Execution{
		RequestID: a.RequestID, Key: r.Header.Get(message.HeaderIdempotencyKey),
		Method: a.Method, Path: a.Path, BodyHash: a.BodyHash, Start: time.Now(),
	})
	err := t.work(ctx, r)
	done(err == nil, hadNoEffects(err))
	return statusOf(err), err
}

// hadNoEffects reports whether a request that failed with err had no effects, because it was not started or because its
// first call was not run. The target may then declare the request as not run.
func hadNoEffects(err error) bool {
	return errors.Is(err, errQueueFull) || errors.Is(err, errStarting) || errors.Is(err, errCallNotRun)
}

func statusOf(err error) int {
	switch {
	case err == nil:
		return http.StatusOK
	case errors.Is(err, errQueueFull):
		return http.StatusServiceUnavailable
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		return http.StatusGatewayTimeout
	default:
		return http.StatusBadGateway
	}
}

func (t *Target) acquireSlot(ctx context.Context) error {
	select {
	case t.slots <- struct{}{}:
		t.running.Add(1)
		return nil
	default:
	}
	if n := t.waiting.Add(1); t.opts.Queue > 0 && n > int64(t.opts.Queue) {
		t.waiting.Add(-1)
		return errQueueFull
	}
	defer t.waiting.Add(-1)
	select {
	case t.slots <- struct{}{}:
		t.running.Add(1)
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (t *Target) releaseSlot() {
	t.running.Add(-1)
	<-t.slots
}

// work waits for the service time of a request, then makes its downstream calls.
func (t *Target) work(ctx context.Context, r *http.Request) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	if d := t.serviceTime(); d > 0 {
		timer := time.NewTimer(d)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	for i, c := range t.calls {
		err := t.call(ctx, r, i, c)
		if i > 0 && errors.Is(err, errCallNotRun) {
			return fmt.Errorf("after %d calls with effects: %v", i, err) // %v, because the error must not match errCallNotRun
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func (t *Target) serviceTime() time.Duration {
	d := time.Duration(t.mean.Load())
	if s := t.opts.Spread; s > 0 {
		t.rngMu.Lock()
		d += time.Duration(t.rng.Int64N(int64(2*s)+1)) - s
		t.rngMu.Unlock()
	}
	if time.Since(t.started) < t.opts.ColdFor {
		d = time.Duration(float64(d) * t.opts.ColdFactor)
	}
	return max(d, 0)
}

// call is a call to a downstream service.
type call struct{ method, url string }

func parseCalls(specs []string, node string) ([]call, error) {
	if len(specs) > 0 && node == "" {
		return nil, errors.New("calls need the address of the node")
	}
	calls := make([]call, 0, len(specs))
	for _, spec := range specs {
		method, path, ok := strings.Cut(spec, ":")
		if !ok {
			method, path = http.MethodGet, spec
		}
		path = strings.TrimPrefix(path, "/")
		if method == "" || path == "" {
			return nil, fmt.Errorf("call %q: want service/path or METHOD:service/path", spec)
		}
		calls = append(calls, call{method: method, url: "http://" + node + "/" + path})
	}
	return calls, nil
}

// call makes one downstream call through the node. Its idempotency key is derived from that of the request, so that every
// execution of the request uses the same one.
func (t *Target) call(ctx context.Context, r *http.Request, i int, c call) error {
	req, err := http.NewRequestWithContext(ctx, c.method, c.url, nil)
	if err != nil {
		return err
	}
	if tp := r.Header.Get(message.HeaderTraceparent); tp != "" {
		req.Header.Set(message.HeaderTraceparent, tp)
	}
	if key := r.Header.Get(message.HeaderIdempotencyKey); key != "" {
		sum := sha256.Sum256(fmt.Appendf(nil, "%s|%s|%d", key, t.opts.Service, i))
		req.Header.Set(message.HeaderIdempotencyKey, hex.EncodeToString(sum[:16]))
	}
	resp, err := t.client.Do(req)
	if err != nil {
		return fmt.Errorf("call %s %s: %w", c.method, c.url, err)
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return fmt.Errorf("call %s %s: %w", c.method, c.url, err)
	}
	if resp.Header.Get(message.HeaderOutcome) == message.NotRun.String() {
		return fmt.Errorf("call %s %s: status %d: %w", c.method, c.url, resp.StatusCode, errCallNotRun)
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("call %s %s: status %d", c.method, c.url, resp.StatusCode)
	}
	return nil
}
