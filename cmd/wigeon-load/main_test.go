package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
)

// startNode starts a fake node that responds to each request with the outcome that next returns.
func startNode(t *testing.T, next func(r *http.Request) message.Outcome) string {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/-/keys" {
			fmt.Fprint(w, `{"keys":["k"],"valid_ms":600000}`)
			return
		}
		outcome := next(r)
		w.Header().Set(message.HeaderOutcome, outcome.String())
		if outcome != message.Answered {
			w.Header().Set(message.HeaderReason, message.ReasonOverload.String())
			if outcome == message.NotRun {
				w.Header().Set(message.HeaderRetryAfter, "30")
			}
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	t.Cleanup(srv.Close)
	return srv.Listener.Addr().String()
}

// runLoad runs the command and returns its exit code, its report, and its standard error output.
func runLoad(t *testing.T, args ...string) (int, report, string) {
	var out, errOut bytes.Buffer
	code := run(t.Context(), append([]string{"wigeon-load", "--json"}, args...), &out, &errOut)
	r := report{counts: newCounts()}
	if code != exitArguments {
		require.NoError(t, json.Unmarshal(out.Bytes(), &r), out.String())
	}
	return code, r, errOut.String()
}

// Guards against a load generator that slows down with its target: a stall must show in the latencies of all requests that
// were due during it, and requests that could not start in time must be counted as skipped.
func TestLoadIsOpenLoop(t *testing.T) {
	var stalls atomic.Int64
	stalls.Store(1)
	addr := startNode(t, func(*http.Request) message.Outcome {
		if stalls.Add(-1) >= 0 {
			time.Sleep(400 * time.Millisecond)
		}
		return message.Answered
	})
	code, r, _ := runLoad(t, "--entry", addr, "--rate", "100", "--duration", "1s", "--callers", "1", "--mix", "menu:GET:/b:1", "--timeout", "30s")
	require.Equal(t, exitAnswered, code)
	require.EqualValues(t, 100, r.Requests)
	require.EqualValues(t, 100, r.Outcomes[outcomeGood])
	require.GreaterOrEqual(t, r.Latency.P50+r.Latency.P90, 150.0)
	require.GreaterOrEqual(t, r.MaxStartDelayMS, 300.0)
	stalls.Store(3) // one after the other, each longer than the timeout
	_, r, _ = runLoad(t, "--entry", addr, "--rate", "100", "--duration", "1s", "--callers", "1", "--mix", "menu:GET:/b:1", "--timeout", "100ms")
	require.EqualValues(t, 100, r.Requests)
	require.Positive(t, r.Outcomes[outcomeSkipped])
}

// Guards against runs that cannot be compared: the seed must determine the requests, and the mix their shares.
func TestMixFollowsSeedAndWeights(t *testing.T) {
	var posts, gets atomic.Int64
	addr := startNode(t, func(r *http.Request) message.Outcome {
		if r.Method == http.MethodPost && r.URL.Path == "/orders/x:y" && r.Header.Get(message.HeaderIdempotencyKey) != "" {
			posts.Add(1)
		} else if r.Method == http.MethodGet && r.URL.Path == "/menu/boards/1" {
			gets.Add(1)
		}
		return message.Answered
	})
	args := []string{"--entry", addr, "--rate", "1000", "--duration", "300ms", "--timeout", "30s", "--mix", "menu:GET:/boards/1:8,orders:POST:/x:y:2"}
	_, _, _ = runLoad(t, args...)
	first := posts.Load()
	require.InDelta(t, 60, first, 25)
	require.EqualValues(t, 300, first+gets.Load())
	_, _, _ = runLoad(t, args...)
	require.EqualValues(t, 2*first, posts.Load())
	_, err := parseMix("menu:GET:/b:0")
	require.Error(t, err)
	_, err = parseMix("menu:GET:b:1")
	require.Error(t, err)
}

// Guards against an impatient mode that waits for Retry-After, and a normal mode that retries against it.
func TestImpatientCallersRetryAtOnce(t *testing.T) {
	for _, outcome := range []message.Outcome{message.NotRun, message.Unknown} {
		addr := startNode(t, func(*http.Request) message.Outcome { return outcome })
		args := []string{"--entry", addr, "--rate", "20", "--duration", "500ms", "--timeout", "20s", "--mix", "menu:GET:/b:1"}
		code, r, _ := runLoad(t, args...)
		require.Equal(t, exitNoAnswer, code)
		require.EqualValues(t, 10, r.Attempts)
		require.EqualValues(t, 10, r.Reasons[outcome.String()+": overload"])
		_, r, _ = runLoad(t, append(args, "--impatient")...)
		require.EqualValues(t, 10*impatientAttempts, r.Attempts)
	}
}

// Guards against sending load to other machines by mistake. The runs are too short for a single request, so that nothing is
// sent even if the check fails.
func TestRemoteAddressesAreRefused(t *testing.T) {
	for _, entry := range []string{"z=192.0.2.1:80", "z=127.0.0.1:1,198.51.100.1:80", "host.invalid:80"} {
		code, _, text := runLoad(t, "--entry", entry, "--rate", "1", "--duration", "1ms")
		require.Equal(t, exitArguments, code)
		require.Contains(t, text, "not a loopback address")
	}
	_, err := parseZones([]string{"z=192.0.2.1:80"}, true)
	require.NoError(t, err)
	code, _, _ := runLoad(t, "--entry", "127.0.0.1")
	require.Equal(t, exitArguments, code)
}

// Guards against a text report without the counts of outcomes, and an exit code that hides that nothing was answered.
func TestTextReport(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, l.Close())
	var out bytes.Buffer
	code := run(t.Context(), strings.Fields("wigeon-load --rate 20 --duration 200ms --entry z="+l.Addr().String()), &out, &out)
	require.Equal(t, exitNoAnswer, code)
	require.Contains(t, out.String(), "not-run: connection: 4")
}
