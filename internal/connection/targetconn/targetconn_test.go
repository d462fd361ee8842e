package targetconn

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// fakeTarget runs one script per connection that the pool opens, in order.
type fakeTarget struct {
	scripts []func(net.Conn, *bufio.Reader)
	opened  int
}

func (f *fakeTarget) pool() *Pool {
	p := NewPool("target")
	p.dial = func(context.Context) (net.Conn, error) {
		if f.opened >= len(f.scripts) {
			return nil, errors.New("connection refused")
		}
		ours, theirs := net.Pipe()
		script := f.scripts[f.opened]
		f.opened++
		go func() {
			defer theirs.Close()
			script(theirs, bufio.NewReader(theirs))
		}()
		return ours, nil
	}
	return p
}

func exchange(id string) *Exchange {
	return &Exchange{
		ID:      id,
		Method:  http.MethodGet,
		Bytes:   []byte("GET /" + id + " HTTP/1.1\r\nHost: x\r\nId: " + id + "\r\n\r\n"),
		Matches: func(h http.Header) bool { return h.Get("Id") == id },
		MaxBody: 1 << 10,
	}
}

func response(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

func readOne(t *testing.T, br *bufio.Reader) string {
	r, err := http.ReadRequest(br)
	if err != nil {
		return ""
	}
	_, _ = io.ReadAll(r.Body)
	return strings.TrimPrefix(r.URL.Path, "/")
}

func do(t *testing.T, p *Pool, id string) (*Response, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	return p.Do(ctx, exchange(id))
}

// Guards against a late or duplicate response that is returned for the next request, and against the loss of that request's own
// response.
func TestAnswerToAnEarlierRequestIsSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeTarget{scripts: []func(net.Conn, *bufio.Reader){func(c net.Conn, br *bufio.Reader) {
			_, _ = io.WriteString(c, response(readOne(t, br), "one"))
			second := readOne(t, br)
			_, _ = io.WriteString(c, response("a", "one")+response(second, "two"))
			readOne(t, br)
		}}}
		p := f.pool()
		a, err := do(t, p, "a")
		require.NoError(t, err)
		require.Equal(t, "one", string(a.Body))
		a, err = do(t, p, "b")
		require.NoError(t, err)
		require.Equal(t, "two", string(a.Body))
		p.Close()
	})
}

// Guards against responses that are truncated, too large, missing or invalid and are accepted as complete.
func TestBrokenAnswersAreErrors(t *testing.T) {
	for name, text := range map[string]string{
		"cut body":                "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 10\r\n\r\nhalf",
		"cut header":              "HTTP/1.1 200 OK\r\nId",
		"cut chunk":               "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhal",
		"no answer":               "",
		"not HTTP":                "\x00\x01\x02\x03 garbage\r\n\r\n",
		"only for other requests": response("x", "") + response("y", "") + response("z", ""),
		"body too large":          response("a", strings.Repeat("x", 2<<10)),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fakeTarget{scripts: []func(net.Conn, *bufio.Reader){func(c net.Conn, br *bufio.Reader) {
					readOne(t, br)
					_, _ = io.WriteString(c, text)
				}}}
				_, err := do(t, f.pool(), "a")
				var failed *Error
				require.ErrorAs(t, err, &failed)
				require.True(t, failed.Sent, "the target may have run it")
			})
		})
	}
}

// Guards against the loss of a response without length, which ends with its connection, and against reuse of that connection.
func TestAnswerWithoutLengthEndsWithItsConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		serve := func(c net.Conn, br *bufio.Reader) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+readOne(t, br)+"\r\n\r\nall of it")
		}
		f := &fakeTarget{scripts: []func(net.Conn, *bufio.Reader){serve, serve}}
		p := f.pool()
		for _, id := range []string{"a", "b"} {
			a, err := do(t, p, id)
			require.NoError(t, err)
			require.Equal(t, "all of it", string(a.Body))
		}
		require.Equal(t, 2, p.Opened())
	})
}

// Guards against reporting a request that may have run as not run, and the reverse. Only a failure to connect proves that the
// target did not receive the request.
func TestOnlyAFailedConnectProvesThatNothingWasSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, err := do(t, (&fakeTarget{}).pool(), "a")
		var failed *Error
		require.ErrorAs(t, err, &failed)
		require.False(t, failed.Sent)

		silent := func(_ net.Conn, br *bufio.Reader) {
			readOne(t, br)
			time.Sleep(time.Minute)
		}
		f := &fakeTarget{scripts: []func(net.Conn, *bufio.Reader){silent}}
		start := time.Now()
		_, err = do(t, f.pool(), "a")
		require.ErrorAs(t, err, &failed)
		require.True(t, failed.Sent)
		require.ErrorIs(t, err, context.DeadlineExceeded)
		require.Equal(t, 5*time.Second, time.Since(start))
		time.Sleep(time.Minute)
	})
}

// Guards against sending a request that may not be retried on a connection that the target has closed unnoticed.
func TestFreshExchangeAvoidsIdleConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		serve := func(c net.Conn, br *bufio.Reader) {
			for id := readOne(t, br); id != ""; id = readOne(t, br) {
				_, _ = io.WriteString(c, response(id, ""))
			}
		}
		f := &fakeTarget{scripts: []func(net.Conn, *bufio.Reader){serve, serve, serve}}
		p := f.pool()
		fresh := func(id string) {
			x := exchange(id)
			x.Fresh = true
			_, err := p.Do(t.Context(), x)
			require.NoError(t, err)
		}
		fresh("a")
		fresh("b")
		require.Equal(t, 1, p.Opened())
		time.Sleep(maxFreshIdle)
		fresh("c")
		require.Equal(t, 2, p.Opened())
		time.Sleep(maxIdle)
		_, err := do(t, p, "d")
		require.NoError(t, err)
		require.Equal(t, 3, p.Opened(), "targets close connections that were idle for longer")
		p.Close()
	})
}

// Guards against reuse of a connection whose request body is not written completely. When a target responds early and reads the
// rest of the body later, the next request would be mixed up with that rest.
func TestConnectionWithAnUnwrittenBodyIsNotUsedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		early := func(c net.Conn, br *bufio.Reader) {
			_, _ = br.Peek(1)
			_, _ = io.WriteString(c, response("a", "early"))
			time.Sleep(time.Minute)
		}
		f := &fakeTarget{scripts: []func(net.Conn, *bufio.Reader){early}}
		p := f.pool()
		x := exchange("a")
		x.Bytes = append(x.Bytes, make([]byte, 8<<10)...)
		a, err := p.Do(t.Context(), x)
		require.NoError(t, err)
		require.Equal(t, "early", string(a.Body))
		require.Nil(t, p.pop(""))
		time.Sleep(time.Minute)
	})
}

// Guards against reuse of a connection beyond the idle timeout that the target advertises.
func TestKeepAliveHeaderLimitsIdleTime(t *testing.T) {
	c := &conn{idleLimit: maxIdle}
	c.applyKeepAlive(http.Header{"Keep-Alive": {"max=5, timeout=3"}})
	require.InDelta(t, 2.1, c.idleLimit.Seconds(), 1e-6)
	c.applyKeepAlive(http.Header{"Keep-Alive": {"timeout=60"}})
	require.Equal(t, maxIdle, c.idleLimit)
}
