package target

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
)

// fakeNode records announcements and the headers of calls, and responds to calls with the status.
type fakeNode struct {
	mu     sync.Mutex
	states []State
	calls  []http.Header
	status int
}

func (n *fakeNode) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if r.URL.Path == "/-/announce" {
		var a Announcement
		_ = json.NewDecoder(r.Body).Decode(&a)
		n.states = append(n.states, a.State)
		return
	}
	n.calls = append(n.calls, r.Header)
	w.WriteHeader(n.status)
}

func do(t *testing.T, ctx context.Context, tg *Target, id message.ID, header http.Header) (int, Answer, error) {
	t.Helper()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+tg.Addr()+"/orders", nil)
	require.NoError(t, err)
	if header != nil {
		req.Header = header
	}
	req.Header.Set(message.HeaderTraceparent, message.Traceparent(id, message.NewSpanID()))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, Answer{}, err
	}
	defer resp.Body.Close()
	var a Answer
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.NoError(t, json.Unmarshal(body, &a))
	return resp.StatusCode, a, nil
}

// Guards against work that continues after its caller disconnected or its timeout expired, and against records that mark
// such work as completed: tests compare the outcomes that callers see with these records.
func TestCancelledAndLateWorkIsNotCompleted(t *testing.T) {
	tg, err := Start(Options{Mean: 10 * time.Second})
	require.NoError(t, err)
	defer tg.Close()
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		for tg.Running() == 0 {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(20 * time.Millisecond)
		cancel()
	}()
	_, _, err = do(t, ctx, tg, message.NewID(), nil)
	require.Error(t, err)
	status, _, err := do(t, t.Context(), tg, message.NewID(), http.Header{message.HeaderTimeout: {"50"}})
	require.NoError(t, err)
	require.Equal(t, http.StatusGatewayTimeout, status)
	require.Eventually(t, func() bool { return tg.Running() == 0 }, 5*time.Second, 10*time.Millisecond)
	require.Len(t, tg.Executions(), 2)
	for _, e := range tg.Executions() {
		require.False(t, e.Completed)
		require.False(t, e.End.IsZero())
	}
}

// Guards against call chains that lose the request ID or hide a failed call.
func TestCallsCarryTraceparentAndFailTheRequest(t *testing.T) {
	node := &fakeNode{status: http.StatusOK}
	srv := httptest.NewServer(node)
	defer srv.Close()
	tg, err := Start(Options{Node: srv.Listener.Addr().String(), Calls: []string{"POST:stock/take"}})
	require.NoError(t, err)
	defer tg.Close()
	id := message.NewID()
	status, a, err := do(t, t.Context(), tg, id, http.Header{message.HeaderIdempotencyKey: {"k1"}})
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, id.String(), a.RequestID)
	node.mu.Lock()
	got, _, err := message.ParseTraceparent(node.calls[0].Get(message.HeaderTraceparent))
	require.NoError(t, err)
	require.Equal(t, id, got)
	require.NotEmpty(t, node.calls[0].Get(message.HeaderIdempotencyKey))
	node.status = http.StatusServiceUnavailable
	node.mu.Unlock()
	status, _, err = do(t, t.Context(), tg, id, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusBadGateway, status)
	require.Equal(t, []bool{true, false}, []bool{tg.Executions()[0].Completed, tg.Executions()[1].Completed})
}

// Guards against a target that declares a request as not run although one of its calls may have had effects, which lets an
// order run twice, and against one that does not declare it although nothing was done, which loses the order.
func TestTargetDeclaresRequestsWithoutEffects(t *testing.T) {
	for _, c := range []struct {
		outcomes []string // of the calls
		declared string
	}{
		{[]string{"not-run"}, message.Declined},
		{[]string{"unknown"}, ""},
		{[]string{"answered", "not-run"}, ""},
	} {
		var calls atomic.Int64
		node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if !strings.HasPrefix(r.URL.Path, "/stock/") {
				return // an announcement
			}
			outcome := c.outcomes[calls.Add(1)-1]
			w.Header().Set(message.HeaderOutcome, outcome)
			if outcome != "answered" {
				w.WriteHeader(http.StatusServiceUnavailable)
			}
		}))
		defer node.Close()
		record := filepath.Join(t.TempDir(), "executions")
		tg, err := Start(Options{Node: node.Listener.Addr().String(), RecordFile: record,
			Calls: []string{"POST:stock/take", "POST:stock/book"}[:len(c.outcomes)]})
		require.NoError(t, err)
		defer tg.Close()
		resp, err := http.Get("http://" + tg.Addr() + "/x")
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.Equal(t, []any{http.StatusBadGateway, c.declared}, []any{resp.StatusCode, resp.Header.Get(message.HeaderDeclined)}, "%+v", c)
		declined := c.declared != ""
		require.Equal(t, declined, tg.Executions()[0].Declined, "%+v", c)
		lines, err := os.ReadFile(record)
		require.NoError(t, err)
		require.Equal(t, declined, bytes.Contains(lines, []byte(`"declined":true`)), "%+v", c)
	}
}

// Guards against a drain that aborts a running request or is not announced to the node.
func TestDrainAnnouncesAndWaits(t *testing.T) {
	node := &fakeNode{status: http.StatusOK}
	srv := httptest.NewServer(node)
	defer srv.Close()
	tg, err := Start(Options{Node: srv.Listener.Addr().String(), Mean: 300 * time.Millisecond, DrainGrace: 50 * time.Millisecond})
	require.NoError(t, err)
	result := make(chan int, 1)
	go func() {
		status, _, _ := do(t, t.Context(), tg, message.NewID(), nil)
		result <- status
	}()
	require.Eventually(t, func() bool { return tg.Running() == 1 }, 5*time.Second, 5*time.Millisecond)
	require.NoError(t, tg.Drain(t.Context()))
	require.Equal(t, http.StatusOK, <-result)
	node.mu.Lock()
	defer node.mu.Unlock()
	require.Equal(t, Draining, node.states[len(node.states)-1])
	require.True(t, tg.Executions()[0].Completed)
}

// Guards against a fake that reports its true state although ReportLag or ReportIdle is set: experiments with outdated or
// false reports would then not test them.
func TestReportsLagAndMislead(t *testing.T) {
	report := func(tg *Target) (r Report) {
		resp, err := http.Get("http://" + tg.Addr() + "/-/load")
		require.NoError(t, err)
		defer resp.Body.Close()
		require.NoError(t, json.NewDecoder(resp.Body).Decode(&r))
		return r
	}
	for _, o := range []Options{{ReportLag: time.Minute}, {ReportIdle: true}, {}} {
		o.Mean = 10 * time.Second
		tg, err := Start(o)
		require.NoError(t, err)
		defer tg.Close()
		require.Eventually(t, func() bool { return o.ReportLag == 0 || report(tg).Slots > 0 }, 5*time.Second, 5*time.Millisecond)
		time.Sleep(2 * reportInterval) // so that the first report is sampled before the request
		go func() { _, _, _ = do(t, t.Context(), tg, message.NewID(), nil) }()
		require.Eventually(t, func() bool { return tg.Running() == 1 }, 5*time.Second, 5*time.Millisecond)
		want := 0
		if o.ReportLag == 0 && !o.ReportIdle {
			want = 1
		}
		require.Equal(t, want, report(tg).Running)
	}
}

// Guards against a fake that accepts more connections than its limit, or that still counts closed ones.
func TestConnectionLimit(t *testing.T) {
	tg, err := Start(Options{Connections: 1})
	require.NoError(t, err)
	defer tg.Close()
	first, err := net.Dial("tcp", tg.Addr())
	require.NoError(t, err)
	l := tg.listener.(*limitListener)
	require.Eventually(t, func() bool { return l.open.Load() == 1 }, 5*time.Second, 5*time.Millisecond)
	_, err = http.Get("http://" + tg.Addr() + "/-/load")
	require.Error(t, err)
	require.NoError(t, first.Close())
	require.Eventually(t, func() bool { return l.open.Load() == 0 }, 5*time.Second, 5*time.Millisecond)
	resp, err := http.Get("http://" + tg.Addr() + "/-/load")
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
}
