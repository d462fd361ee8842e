package platform_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wigeoncleat/wigeoncleat/internal/process/platform"
	"github.com/wigeoncleat/wigeoncleat/internal/standin/memory"
	"github.com/wigeoncleat/wigeoncleat/internal/standin/platformserver"
)

const (
	// shortTimeout is for tests that wait until it expires.
	shortTimeout = 150 * time.Millisecond
	// longTimeout is for tests in which it must not expire, even on a busy machine.
	longTimeout = time.Minute
)

type fixture struct {
	memory  *memory.Platform
	server  *platformserver.Server
	http    *httptest.Server
	table   *platform.HTTPTable
	objects *platform.HTTPObjects
}

func newFixture(t *testing.T, timeout time.Duration) *fixture {
	m := memory.New()
	f := &fixture{memory: m, server: platformserver.New(m)}
	f.http = httptest.NewServer(f.server)
	t.Cleanup(f.http.Close)
	var err error
	f.table, err = platform.NewHTTPTable(f.http.URL, timeout)
	require.NoError(t, err)
	f.objects, err = platform.NewHTTPObjects(f.http.URL, timeout)
	require.NoError(t, err)
	t.Cleanup(func() { _ = f.table.Close(); _ = f.objects.Close() })
	return f
}

func (f *fixture) setFaults(t *testing.T, faults platformserver.Faults) {
	require.NoError(t, f.server.SetFaults(faults))
}

// Guards against a condition that is lost in transmission: a write that must not apply would overwrite another one, such as
// the configuration change of another operator.
func TestConditionsHold(t *testing.T) {
	f, ctx := newFixture(t, longTimeout), t.Context()
	const key = "head/site a?&=%2F\"#/ü"
	first, err := f.table.Put(ctx, key, []byte("one"), platform.Condition{Absent: true})
	require.NoError(t, err)
	_, err = f.table.Put(ctx, key, []byte("two"), platform.Condition{Absent: true})
	require.ErrorIs(t, err, platform.ErrConflict)
	second, err := f.table.Put(ctx, key, []byte("two"), platform.Condition{Version: first})
	require.NoError(t, err)
	_, err = f.table.Put(ctx, key, []byte("three"), platform.Condition{Version: first})
	require.ErrorIs(t, err, platform.ErrConflict)
	_, err = f.table.Put(ctx, key, nil, platform.Condition{Absent: true, Version: second})
	require.ErrorIs(t, err, platform.ErrConflict)

	_, err = f.table.Commit(ctx, []platform.Write{
		{Key: "other", Value: []byte("x"), Cond: platform.Condition{Absent: true}},
		{Key: key, Value: []byte("three"), Cond: platform.Condition{Version: first}},
	})
	require.ErrorIs(t, err, platform.ErrConflict)
	_, err = f.table.Get(ctx, "other")
	require.ErrorIs(t, err, platform.ErrNotFound, "a transaction was applied partially")
	row, err := f.table.Get(ctx, key)
	require.NoError(t, err)
	require.Equal(t, platform.Row{Key: key, Value: []byte("two"), Version: second}, row)
	rows, err := f.table.List(ctx, "head/", 10)
	require.NoError(t, err)
	require.Equal(t, []platform.Row{row}, rows)
}

// Guards against a write that took effect and is reported as not written, and against one that is reported as in doubt
// although its outcome is known: each fault must give the error that the platform interface promises, for every kind of
// write.
func TestWriteFailures(t *testing.T) {
	cases := []struct {
		name    string
		faults  platformserver.Faults
		want    error
		applied bool
		timeout time.Duration
	}{
		{"refused", platformserver.Faults{Down: true}, platform.ErrUnavailable, false, longTimeout},
		{"hang", platformserver.Faults{Hang: true}, platform.ErrInDoubt, false, shortTimeout},
		{"slow", platformserver.Faults{Delay: "10s"}, platform.ErrInDoubt, false, shortTimeout},
		{"answer lost", platformserver.Faults{LoseAnswer: true}, platform.ErrInDoubt, true, longTimeout},
		{"answer hangs", platformserver.Faults{HangAnswer: true}, platform.ErrInDoubt, true, shortTimeout},
		{"answer truncated", platformserver.Faults{Truncate: true}, platform.ErrInDoubt, true, longTimeout},
		{"internal error", platformserver.Faults{Status: 500}, platform.ErrInDoubt, true, longTimeout},
		{"gateway timeout", platformserver.Faults{Status: 504}, platform.ErrInDoubt, true, longTimeout},
		{"redirect", platformserver.Faults{Status: 303}, platform.ErrInDoubt, true, longTimeout},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, c.timeout)
			f.setFaults(t, c.faults)
			ctx := t.Context()
			_, putErr := f.table.Put(ctx, "put", []byte("x"), platform.Condition{Absent: true})
			_, commitErr := f.table.Commit(ctx, []platform.Write{{Key: "commit", Value: []byte("x")}})
			_, objectErr := f.objects.Put(ctx, []byte("body"))
			f.setFaults(t, platformserver.Faults{})
			for _, err := range []error{putErr, commitErr, objectErr} {
				requireExactly(t, err, c.want)
			}
			for _, key := range []string{"put", "commit"} {
				_, err := f.memory.Get(ctx, key)
				require.Equal(t, c.applied, err == nil)
			}
			_, err := f.memory.Objects().Get(ctx, platform.Hash([]byte("body")))
			require.Equal(t, c.applied, err == nil)
		})
	}
}

// requireExactly checks that err matches want and none of the other errors that callers distinguish.
func requireExactly(t *testing.T, err, want error) {
	t.Helper()
	for _, e := range []error{platform.ErrNotFound, platform.ErrConflict, platform.ErrUnavailable, platform.ErrInDoubt} {
		require.Equal(t, e == want, errors.Is(err, e), "%v", err)
	}
}

// Guards against a write that is reported as in doubt although it provably was not sent. A node that cannot bind a new
// idempotency key to a home node for that reason could then not report the request as "not run".
func TestConnectionRefusedIsNoDoubt(t *testing.T) {
	f, ctx := newFixture(t, longTimeout), t.Context()
	_, err := f.table.Put(ctx, "a", nil, platform.Condition{}) // leaves an idle connection that the outage closes
	require.NoError(t, err)
	f.http.Close()
	// The first write may be sent over that connection before the client notices that it was closed, and is then in doubt.
	if _, err = f.table.Put(ctx, "a", nil, platform.Condition{}); errors.Is(err, platform.ErrInDoubt) {
		requireExactly(t, err, platform.ErrInDoubt)
	} else {
		requireExactly(t, err, platform.ErrUnavailable)
	}
	for range 3 {
		_, err = f.table.Put(ctx, "a", nil, platform.Condition{})
		requireExactly(t, err, platform.ErrUnavailable)
	}
	_, err = f.objects.Put(ctx, nil)
	requireExactly(t, err, platform.ErrUnavailable)
}

// Guards against a write that is reported as in doubt although its context ended before a connection was opened, and against
// a call that outlives its context.
func TestContextEnds(t *testing.T) {
	f := newFixture(t, longTimeout)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := f.table.Put(ctx, "a", nil, platform.Condition{})
	requireExactly(t, err, platform.ErrUnavailable)

	f.setFaults(t, platformserver.Faults{Hang: true})
	ctx, cancel = context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	start := time.Now()
	_, err = f.table.Get(ctx, "a")
	requireExactly(t, err, platform.ErrUnavailable)
	require.Less(t, time.Since(start), longTimeout)
}

// Guards against reads that take a failure for a missing row or a truncated response for a complete one.
func TestReadFailures(t *testing.T) {
	for name, faults := range map[string]platformserver.Faults{
		"refused": {Down: true}, "hang": {Hang: true}, "truncated": {Truncate: true},
	} {
		t.Run(name, func(t *testing.T) {
			f, ctx := newFixture(t, shortTimeout), t.Context()
			_, err := f.memory.Put(ctx, "a", []byte("value"), platform.Condition{})
			require.NoError(t, err)
			hash, err := f.memory.Objects().Put(ctx, []byte("body"))
			require.NoError(t, err)
			f.setFaults(t, faults)
			_, err = f.table.Get(ctx, "a")
			requireExactly(t, err, platform.ErrUnavailable)
			_, err = f.table.List(ctx, "", 10)
			requireExactly(t, err, platform.ErrUnavailable)
			_, err = f.objects.Get(ctx, hash)
			requireExactly(t, err, platform.ErrUnavailable)
		})
	}
}

// Guards against faulty responses that are accepted: no usable version, a wrong number of versions, the body of another
// object, a redirected write, or a connection that closes before the response.
func TestFaultyPlatform(t *testing.T) {
	hash := platform.Hash([]byte("body"))
	var handler http.HandlerFunc
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { handler(w, r) }))
	defer server.Close()
	table, err := platform.NewHTTPTable(server.URL+"/", longTimeout)
	require.NoError(t, err)
	objects, err := platform.NewHTTPObjects(server.URL, longTimeout)
	require.NoError(t, err)
	ctx := t.Context()
	write := []platform.Write{{Key: "a"}}
	encoding := ""
	handler = func(w http.ResponseWriter, r *http.Request) {
		encoding += r.Header.Get("Accept-Encoding")
		w.Header().Set("ETag", `W/"1"`)
		_, _ = w.Write([]byte(`{"versions":["1","2"]}`))
	}
	_, err = table.Get(ctx, "a")
	requireExactly(t, err, platform.ErrUnavailable)
	_, err = table.Put(ctx, "a", nil, platform.Condition{})
	requireExactly(t, err, platform.ErrInDoubt)
	_, err = table.Commit(ctx, write)
	requireExactly(t, err, platform.ErrInDoubt)
	_, err = objects.Get(ctx, hash)
	requireExactly(t, err, platform.ErrUnavailable)

	require.Empty(t, encoding, "a compressed response has a weak ETag")

	// The client must not follow the redirect of a write with a read and report the success of the read.
	handler = func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPut {
			http.Redirect(w, r, "/elsewhere", http.StatusSeeOther)
			return
		}
		w.Header().Set("ETag", `"1"`)
	}
	_, err = table.Put(ctx, "a", nil, platform.Condition{})
	requireExactly(t, err, platform.ErrInDoubt)

	handler = func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			_ = conn.(*net.TCPConn).SetLinger(0) // resets the connection
			_ = conn.Close()
		}
	}
	_, err = table.Commit(ctx, write)
	requireExactly(t, err, platform.ErrInDoubt)
}
