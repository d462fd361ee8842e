package node

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wigeoncleat/wigeoncleat/internal/process/settings"
	"github.com/wigeoncleat/wigeoncleat/internal/version/policy"
)

// rawTarget maps request paths to raw responses. It closes the connection after any response but completeResponse, and never
// responds to a path that is not in the map.
type rawTarget map[string]string

const completeResponse = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood"

func (a rawTarget) serve(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			in := bufio.NewReader(conn)
			for {
				r, err := http.ReadRequest(in)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				answer, ok := a[r.URL.Path]
				if !ok {
					_, _ = in.ReadByte() // until the node closes the connection
					return
				}
				_, _ = io.WriteString(conn, answer)
				if answer != completeResponse {
					return
				}
			}
		}()
	}
}

// testNode is a running node with its target.
type testNode struct {
	t         *testing.T
	node      *Node
	peer      string
	target    string
	listeners Listeners
	stop      func() // begins a graceful stop
}

func newTestNode(t *testing.T, answers rawTarget) *testNode {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go answers.serve(l)
	listeners, err := Listen(&settings.Settings{Node: settings.Node{
		CallerAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0", TargetInterfaceAddress: "127.0.0.1:0", AdminAddress: "127.0.0.1:0",
	}})
	require.NoError(t, err)
	s := &testNode{t: t, peer: listeners.Peer.Addr().String(), target: l.Addr().String(), listeners: listeners}
	s.node, err = New(Options{Log: slog.New(slog.DiscardHandler), Settings: &settings.Settings{
		Node:   settings.Node{Site: "trial", AvailabilityZone: "a", PeerAddress: s.peer},
		Target: settings.Target{Service: "orders", Address: s.target, LeaseMin: time.Second, LeaseMax: time.Minute},
		Link:   settings.Link{HeartbeatInterval: time.Second, HeartbeatTimeout: time.Minute, IdleTimeout: time.Minute},
		Drain:  settings.Drain{Limit: time.Second},
	}})
	require.NoError(t, err)
	p := policy.New()
	p.Services["orders"] = &policy.Service{Name: "orders", Slots: 10, Connections: 10, Routes: []policy.Route{
		{Name: "read", Method: "GET", Prefix: "/", Rank: 1, Idempotent: true, Timeout: time.Minute},
		{Name: "new", Method: "POST", Prefix: "/", Rank: 2, Timeout: time.Minute},
	}}
	p.Version = filePolicyVersion
	s.node.Apply(p)
	ctx, cancel := context.WithCancel(t.Context())
	abort, stop := context.WithCancel(t.Context())
	s.stop = cancel
	done := make(chan error, 1)
	go func() { done <- s.node.Run(ctx, listeners, abort) }()
	t.Cleanup(func() {
		stop()
		cancel()
		<-done
	})
	status, _, body := s.dial(listeners.Target)("POST /-/announce", "", `{"service":"orders","slots":10,"state":"ready","lease":60000}`)
	require.Equal(t, http.StatusNoContent, status, body)
	return s
}

// dial opens a connection and returns a function that sends a request over it and reads the response. The function never
// reconnects, so a later request succeeds only if the connection is still open.
func (s *testNode) dial(l net.Listener) func(line, headers, body string) (int, http.Header, string) {
	conn, err := net.Dial("tcp", l.Addr().String())
	require.NoError(s.t, err)
	s.t.Cleanup(func() { _ = conn.Close() })
	in := bufio.NewReader(conn)
	return func(line, headers, body string) (int, http.Header, string) {
		if body != "" {
			headers += fmt.Sprintf("Content-Length: %d\r\n", len(body))
		}
		go func() { _, _ = io.WriteString(conn, line+" HTTP/1.1\r\nHost: node\r\n"+headers+"\r\n"+body) }()
		method, _, _ := strings.Cut(line, " ")
		resp, err := http.ReadResponse(in, &http.Request{Method: method})
		require.NoError(s.t, err, line)
		defer resp.Body.Close()
		read, err := io.ReadAll(resp.Body)
		require.NoError(s.t, err, line)
		return resp.StatusCode, resp.Header, string(read)
	}
}

// failureCase is a request and the failure that is expected for it.
type failureCase struct {
	line, headers, body string
	status              int
	outcome, reason     string
	step, peer          string
}

// check sends the failing requests over one connection, each followed by a good request that must succeed.
func (s *testNode) check(l net.Listener, good string, calls []failureCase) {
	send := s.dial(l)
	for _, c := range calls {
		name := fmt.Sprintf("%.60s %.60q %.60q", c.line, c.headers, c.body)
		status, header, body := send(c.line, c.headers, c.body)
		var f struct{ Outcome, Reason, Step, Peer, Detail, Request_ID string }
		require.NoError(s.t, json.Unmarshal([]byte(body), &f), "%s: %q", name, body)
		require.Equal(s.t, []any{c.status, c.outcome, c.reason, c.step, c.peer},
			[]any{status, f.Outcome, f.Reason, f.Step, f.Peer}, "%s: %s", name, body)
		require.NotEmpty(s.t, f.Detail, name)
		require.Len(s.t, f.Request_ID, 32, name)
		require.Equal(s.t, []string{c.outcome, c.reason, f.Request_ID},
			[]string{header.Get("Wigeon-Outcome"), header.Get("Wigeon-Reason"), header.Get("X-Request-Id")}, name)
		status, header, body = send(good, "", "")
		require.Equal(s.t, []any{200, "answered", "good"}, []any{status, header.Get("Wigeon-Outcome"), body}, "after %s", name)
	}
	require.Zero(s.t, s.node.engine.Active())
	require.Zero(s.t, s.node.admission.Load().InFlight, "a failed request did not release its slot")
}

// Guards against invalid requests that are forwarded, close the connection or get a response without outcome, step and peer.
func TestBadRequests(t *testing.T) {
	s := newTestNode(t, rawTarget{"/good": completeResponse})
	bad := func(line, headers, body string, status int, reason, step string) failureCase {
		return failureCase{line, headers, body, status, "not-run", reason, step, s.peer}
	}
	// The step "configure" looks up the service and the route in the policy.
	calls := []failureCase{
		bad("GET /orders/good", "X-Large: "+strings.Repeat("x", policy.DefaultHeader)+"\r\n", "", 413, "too-large", "accept"),
		bad("GET /orders/"+strings.Repeat("x", policy.DefaultHeader), "", "", 413, "too-large", "accept"),
		bad("POST /orders/good", "Idempotency-Key: k\r\n", strings.Repeat("x", policy.DefaultRequestBody+1), 413, "too-large", "accept"),
		bad("GET /unknown/good", "", "", 404, "no-service", "configure"),
		bad("DELETE /orders/good", "", "", 404, "no-service", "configure"),
		bad("GET /", "", "", 404, "no-service", "accept"),
		bad("GET /orders", "", "", 404, "no-service", "accept"),
		bad("GET /-/other", "", "", 404, "no-service", "configure"),
		bad("POST /orders/good", "", "x", 428, "key-required", "key"),
		bad("POST /orders/good", "Idempotency-Key: wg1.broken\r\n", "x", 400, "invalid", "key"), // wg1.: a key that a node issued
		bad("POST /orders/good", "Idempotency-Key: a b\r\n", "x", 400, "invalid", "key"),
	}
	for _, trace := range []string{"x", "00-00000000000000000000000000000000-b7ad6b7169203331-01", "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331"} {
		calls = append(calls, bad("GET /orders/good", "Traceparent: "+trace+"\r\n", "", 400, "invalid", "accept"))
	}
	for _, header := range []string{
		"Wigeon-Timeout-Ms: 0", "Wigeon-Timeout-Ms: -1", "Wigeon-Timeout-Ms: 1.5", "Wigeon-Timeout-Ms: 9223372036855",
		"Wigeon-Retry-Budget: -1", "Wigeon-Retry-Budget: x", "Wigeon-Retry-Budget: 9223372036854775808",
	} {
		calls = append(calls, bad("GET /orders/good", header+"\r\n", "", 400, "invalid", "accept"))
	}
	s.check(s.listeners.Caller, "GET /orders/good", append(calls,
		bad("GET /-/keys", "", "", 400, "invalid", "accept"), bad("POST /-/keys?n=0", "", "", 400, "invalid", "accept"),
		bad("POST /-/keys?n=257", "", "", 400, "invalid", "accept"), bad("POST /-/keys?n=x", "", "", 400, "invalid", "accept"),
	))
	s.check(s.listeners.Target, "GET /orders/good", calls)
}

// Guards against requests that net/http rejects before the handler is called and that get a response without outcome, step
// and peer, which callers must treat as an unknown outcome; and against a malformed request that stops the server.
func TestRequestsThatCannotBeRead(t *testing.T) {
	s := newTestNode(t, rawTarget{"/good": completeResponse})
	long := strings.Repeat("x", 2<<20) // exceeds maxHeaderBytes
	for _, l := range []net.Listener{s.listeners.Caller, s.listeners.Target} {
		for _, c := range []failureCase{
			{line: "GET /orders/good", headers: "X-Large: " + long + "\r\n", status: 413, reason: "too-large"},
			{line: "GET /orders/" + long, status: 413, reason: "too-large"},
			{line: "POST /orders/good", headers: "Idempotency-Key: k\r\n", body: long + long, status: 413, reason: "too-large"},
			{line: "GET /orders/good", headers: "no header\r\n", status: 400, reason: "invalid"},
			{line: "GET /orders/good", headers: "Host: twice\r\n", status: 400, reason: "invalid"},
			{line: "GET /orders/%zz", status: 400, reason: "invalid"},
			{line: "POST /orders/good", headers: "Transfer-Encoding: x\r\n", status: 400, reason: "invalid"},
		} {
			name := fmt.Sprintf("%.60s %.60q", c.line, c.headers)
			status, header, body := s.dial(l)(c.line, c.headers, c.body)
			var f failureBody
			require.NoError(t, json.Unmarshal([]byte(body), &f), "%s: %q", name, body)
			require.NotEmpty(t, f.Detail, name)
			f.Detail, f.RequestID = "", ""
			require.Equal(t, failureBody{Outcome: "not-run", Reason: c.reason, Step: "accept", Peer: s.peer}, f, name)
			require.Equal(t, []any{c.status, "not-run", c.reason, "application/json"},
				[]any{status, header.Get("Wigeon-Outcome"), header.Get("Wigeon-Reason"), header.Get("Content-Type")}, name)
		}
		send := s.dial(l)
		for range 2 {
			status, _, body := send("GET /orders/good", "", "")
			require.Equal(t, []any{200, "good"}, []any{status, body})
		}
	}
}

// Guards against a target's response that is replaced because a part of it looks like an error response of net/http. How the
// server splits a response into writes depends on its headers, so the test places the text at every offset.
func TestAnswerThatLooksLikeServerError(t *testing.T) {
	text := "HTTP/1.1 400 Bad Request" + string(serverErrorHeaders)
	bodies, answers := map[string]string{}, rawTarget{"/good": completeResponse}
	for i := range text {
		path := fmt.Sprintf("/%03d", i)
		bodies[path] = strings.Repeat("x", i) + strings.Repeat(text, 100)
		answers[path] = fmt.Sprintf("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", len(bodies[path]), bodies[path])
	}
	s := newTestNode(t, answers)
	for path, want := range bodies {
		status, _, body := s.dial(s.listeners.Caller)("GET /orders"+path, "", "")
		require.Equal(t, 200, status, path)
		require.True(t, want == body, "%s: %d bytes of %d", path, len(body), len(want))
	}
}

// Guards against an invalid announcement, or one for another service, that is accepted or that ends the previous
// announcement.
func TestBadAnnouncements(t *testing.T) {
	s := newTestNode(t, rawTarget{"/good": completeResponse})
	var calls []failureCase
	for _, body := range []string{
		"", "x", `{"service":"orders"`, `[]`, `{"service":"menu","slots":10,"state":"ready","lease":3000}`,
		`{"service":"orders","slots":0,"state":"ready","lease":3000}`, `{"service":"orders","slots":10,"state":"gone","lease":3000}`,
		`{"service":"orders","slots":"10","state":"ready"}`, `{"service":"` + strings.Repeat("x", maxAnnouncementBytes) + `"}`,
	} {
		calls = append(calls, failureCase{"POST /-/announce", "", body, 400, "not-run", "invalid", "accept", s.peer})
	}
	calls = append(calls, failureCase{"PUT /-/announce", "", `{"service":"orders","slots":1,"state":"draining","lease":3000}`,
		400, "not-run", "invalid", "accept", s.peer})
	s.check(s.listeners.Target, "GET /orders/good", calls)
}

// Guards against a target's response that is truncated, has no defined end, is malformed or never arrives, and that is
// forwarded as an answer, keeps its slot occupied or breaks the caller's connection.
func TestBadTargetResponses(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	bodies := rawTarget{
		"/good":     completeResponse,
		"/short":    ok + "Content-Length: 100\r\n\r\ncut",
		"/chunks":   ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
		"/endless":  ok + "\r\nno length",
		"/headers":  ok + "Content-Le",
		"/garbage":  "garbage\r\n\r\n",
		"/closed":   "",
		"/huge":     fmt.Sprintf("%sContent-Length: %d\r\n\r\n", ok, policy.DefaultResponseBody+1),
		"/odd":      "HTTP/1.1 099 Odd\r\nContent-Length: 0\r\n\r\n",
		"/upgraded": "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n",
	}
	// The target announces that it closes the connection after these. The node must not send another request over it.
	bodies["/empty"] = "HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n"
	bodies["/cached"] = "HTTP/1.1 304 Not Modified\r\nConnection: close\r\nContent-Length: 100\r\n\r\n"
	// With Wigeon-Declined the target declares that it did not run the request.
	bodies["/declined"] = "HTTP/1.1 503 Busy\r\nConnection: close\r\nWigeon-Declined: true\r\nContent-Length: 0\r\n\r\n"
	// A target may copy headers from the response to a request that it sent to another service through its node. That does
	// not declare that it did not run the request itself.
	bodies["/copied"] = "HTTP/1.1 503 Busy\r\nConnection: close\r\nWigeon-Outcome: not-run\r\nContent-Length: 0\r\n\r\n"
	whole := map[string]int{"/good": 200, "/empty": 204, "/cached": 304, "/copied": 503}
	s := newTestNode(t, bodies)
	send := s.dial(s.listeners.Caller)
	for path, want := range whole {
		status, header, _ := send("GET /orders"+path, "", "")
		require.Equal(t, []any{want, "answered"}, []any{status, header.Get("Wigeon-Outcome")}, path)
	}
	var calls []failureCase
	for path := range bodies {
		if whole[path] == 0 && path != "/declined" {
			calls = append(calls, failureCase{"GET /orders" + path, "", "", 504, "unknown", "connection", "run", s.target},
				failureCase{"POST /orders" + path, "Idempotency-Key: " + s.node.keys.Issue(1)[0] + "\r\n", "x", 504, "unknown", "connection", "run", s.target})
		}
	}
	declined := func(line, headers, body string) failureCase {
		return failureCase{line, headers, body, 503, "not-run", "target-unable", "run", s.peer}
	}
	calls = append(calls, declined("GET /orders/declined", "", ""),
		declined("POST /orders/declined", "Idempotency-Key: "+s.node.keys.Issue(1)[0]+"\r\n", "x"))
	s.check(s.listeners.Caller, "GET /orders/good", append(calls,
		failureCase{"GET /orders/never", "Wigeon-Timeout-Ms: 50\r\n", "", 504, "unknown", "deadline", "run", s.target}))
}

// Guards against the caller of a request that is still in progress at the end of a graceful stop and finds its connection closed.
func TestRequestThatOutlastsAStopIsAnswered(t *testing.T) {
	s := newTestNode(t, rawTarget{})
	time.AfterFunc(100*time.Millisecond, s.stop)
	status, headers, _ := s.dial(s.listeners.Caller)("GET /orders/slow", "", "")
	require.Equal(t, http.StatusGatewayTimeout, status)
	require.Equal(t, "unknown", headers.Get("Wigeon-Outcome"))
}
