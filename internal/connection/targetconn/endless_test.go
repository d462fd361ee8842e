package targetconn

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"runtime/metrics"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wigeoncleat/wigeoncleat/internal/request/memory"
)

// matchingHead is the start of a response head that belongs to exchange("a").
const matchingHead = "HTTP/1.1 200 OK\r\nId: a\r\n"

// endlessResponses are responses of a faulty target that do not end: a start, followed by bytes that are repeated until the
// client closes the connection.
var endlessResponses = map[string]struct{ start, repeated string }{
	"one header line":         {matchingHead + "X: ", strings.Repeat("x", 1<<10)},
	"many header lines":       {matchingHead, "X: y\r\n"},
	"status line":             {"HTTP/1.1 200 ", strings.Repeat("O", 1<<10)},
	"informational responses": {"", "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"},
	"chunks":                  {matchingHead + "Transfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("x", 1<<10) + "\r\n"},
	"chunk extension":         {matchingHead + "Transfer-Encoding: chunked\r\n\r\n1;x=", strings.Repeat("x", 1<<10)},
	"chunk extensions":        {matchingHead + "Transfer-Encoding: chunked\r\n\r\n", "1;" + strings.Repeat("x", 1<<10) + "\r\nx\r\n"},
	"trailers":                {matchingHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n"},
	"body without length":     {matchingHead + "\r\n", strings.Repeat("x", 1<<10)},
	"responses to others":     {"", response("b", strings.Repeat("x", 1<<10))},
	"body for another":        {"HTTP/1.1 200 OK\r\nId: b\r\n\r\n", strings.Repeat("x", 1<<10)},
	"no protocol":             {"", "\x00\xff"},
}

func endless(start, repeated string) func(net.Conn, *bufio.Reader) {
	return func(c net.Conn, br *bufio.Reader) {
		if _, err := http.ReadRequest(br); err != nil {
			return
		}
		b, rest := []byte(start), []byte(strings.Repeat(repeated, 1+4096/len(repeated)))
		for {
			if _, err := c.Write(b); err != nil {
				return
			}
			b = rest
		}
	}
}

// Guards against reading an endless response for as long as the target sends. The exchange fails after a bounded number of bytes
// and closes its connection.
func TestBytesWithoutEndEndTheExchange(t *testing.T) {
	for name, a := range endlessResponses {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fakeTarget{scripts: []func(net.Conn, *bufio.Reader){endless(a.start, a.repeated)}}
				p := f.pool()
				_, err := do(t, p, "a")
				var failed *Error
				require.ErrorAs(t, err, &failed)
				require.True(t, failed.Sent, "the target may have run it")
				require.NotErrorIs(t, err, context.DeadlineExceeded, "only the deadline ended the exchange")
				require.Empty(t, p.idle)
			})
		})
	}
}

// serveTCP accepts connections on loopback and runs the script on each.
func serveTCP(t *testing.T, script func(net.Conn, *bufio.Reader)) *Pool {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			go func() {
				defer c.Close()
				script(c, bufio.NewReader(c))
			}()
		}
	}()
	return NewPool(l.Addr().String())
}

// Guards against a response that is lost, or read on without end, because the target sends bytes behind it, and against other requests
// that get those bytes for their response because the connection is used again before they arrive.
func TestBytesWithoutEndBehindAResponse(t *testing.T) {
	for name, repeated := range map[string]string{"no protocol": "x", "lines": "X: y\r\n", "zeros": "\x00"} {
		for _, delay := range []time.Duration{0, 100 * time.Microsecond, 3 * time.Millisecond} {
			t.Run(fmt.Sprintf("%s after %v", name, delay), func(t *testing.T) {
				p := serveTCP(t, func(c net.Conn, br *bufio.Reader) {
					_, err := io.WriteString(c, response(readOne(t, br), "ok"))
					time.Sleep(delay)
					for rest := strings.Repeat(repeated, 1<<10); err == nil; {
						_, err = io.WriteString(c, rest)
					}
				})
				lost := 0
				for i := range 40 {
					if a, err := do(t, p, strconv.Itoa(i)); err != nil {
						lost++
					} else {
						require.Equal(t, "ok", string(a.Body))
					}
				}
				require.LessOrEqual(t, lost, 1, "only one request can be sent before the bytes arrive")
				require.Empty(t, p.idle)
			})
		}
	}
}

// Guards against connections that are never used again because a target once sent bytes behind a response.
func TestConnectionsAreUsedAgainAfterStrayBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		good := func(c net.Conn, br *bufio.Reader) {
			for id := readOne(t, br); id != ""; id = readOne(t, br) {
				_, _ = io.WriteString(c, response(id, "ok"))
			}
		}
		f := &fakeTarget{scripts: []func(net.Conn, *bufio.Reader){func(c net.Conn, br *bufio.Reader) {
			_, _ = io.WriteString(c, response(readOne(t, br), "ok")+"xx")
		}, good, good}}
		p := f.pool()
		for i := range 2 {
			_, err := do(t, p, strconv.Itoa(i))
			require.NoError(t, err)
		}
		time.Sleep(strayTime)
		for i := range 5 {
			_, err := do(t, p, strconv.Itoa(10+i))
			require.NoError(t, err)
		}
		require.Equal(t, 3, p.Opened())
		p.Close()
	})
}

// Guards against a single response with a malformed body after which the target's connections are not used again: its rest says nothing of
// the bytes behind other responses.
func TestRestOfAMalformedResponseIsNoStray(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeTarget{scripts: []func(net.Conn, *bufio.Reader){func(c net.Conn, br *bufio.Reader) {
			readOne(t, br)
			_, _ = io.WriteString(c, matchingHead+"Transfer-Encoding: chunked\r\n\r\nzz\r\nrest")
		}}}
		p := f.pool()
		_, err := do(t, p, "a")
		require.Error(t, err)
		require.Zero(t, p.strayAt)
	})
}

// Guards against responses to other requests, which are skipped, that make a target lose its connections.
func TestSecondResponseIsNoStray(t *testing.T) {
	for behind, stray := range map[string]bool{
		response("0", "again"): false, "HTTP/1.1 ": false, "HT": false, "x": true, "HTML": true, "\r\n": true,
	} {
		synctest.Test(t, func(t *testing.T) {
			f := &fakeTarget{scripts: []func(net.Conn, *bufio.Reader){func(c net.Conn, br *bufio.Reader) {
				_, _ = io.WriteString(c, response(readOne(t, br), "ok")+behind)
			}}}
			p := f.pool()
			_, err := do(t, p, "a")
			require.NoError(t, err)
			require.Equal(t, stray, !p.strayAt.IsZero(), "%q", behind)
			require.Empty(t, p.idle)
		})
	}
}

// Guards against a response that arrives byte by byte, so that no size limit is reached in time. The deadline ends the exchange.
func TestDripFeedEndsAtTheDeadline(t *testing.T) {
	for name, start := range map[string]string{
		"head": matchingHead + "X: ", "body": matchingHead + "Content-Length: 1000\r\n\r\n", "chunks": matchingHead + "Transfer-Encoding: chunked\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fakeTarget{scripts: []func(net.Conn, *bufio.Reader){func(c net.Conn, br *bufio.Reader) {
					readOne(t, br)
					_, err := io.WriteString(c, start)
					for err == nil {
						time.Sleep(100 * time.Millisecond)
						_, err = io.WriteString(c, "1")
					}
				}}}
				began := time.Now()
				_, err := do(t, f.pool(), "a")
				require.ErrorIs(t, err, context.DeadlineExceeded)
				require.Equal(t, 5*time.Second, time.Since(began))
				time.Sleep(time.Second) // the target notices the closed connection
			})
		})
	}
}

// Guards against a node that exceeds its memory limit and is killed while a target sends endless responses on all its slots.
// The largest target of the organisations that run the system has 139 slots, on a VM with 184 MB.
func TestMemoryIsBoundedWhileEverySlotSendsWithoutEnd(t *testing.T) {
	const slots, bodyBudget, maxLiveHeap = 139, 16 << 20, 48 << 20
	budget := memory.NewBudget(bodyBudget)
	before := liveHeap()
	var wg sync.WaitGroup
	for name, a := range endlessResponses {
		for range slots {
			wg.Go(func() {
				f := &fakeTarget{scripts: []func(net.Conn, *bufio.Reader){endless(a.start, a.repeated)}}
				h := budget.NewReservation(memory.Responses)
				defer h.Release()
				x := exchange("a")
				x.MaxBody, x.Memory = 16<<20, h
				_, err := f.pool().Do(t.Context(), x)
				require.Error(t, err, name)
			})
		}
		done := make(chan struct{})
		go func() { wg.Wait(); close(done) }()
		for running := true; running; {
			select {
			case <-done:
				running = false
			case <-time.After(5 * time.Millisecond):
			}
			require.Less(t, liveHeap()-before, int64(maxLiveHeap), name)
		}
	}
	require.Zero(t, budget.Used())
}

// liveHeap runs a garbage collection and returns the bytes of live heap objects.
func liveHeap() int64 {
	runtime.GC()
	s := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
	metrics.Read(s)
	return int64(s[0].Value.Uint64())
}

// Guards against input for which reading a response panics, hangs, or returns an incomplete response.
func FuzzAnswer(f *testing.F) {
	for _, a := range endlessResponses {
		f.Add([]byte(a.start+a.repeated), 3)
	}
	f.Add([]byte(response("a", "body")), 1)
	f.Add([]byte(matchingHead+"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"), 7)
	f.Fuzz(func(t *testing.T, bytes []byte, piece int) {
		ours, theirs := net.Pipe()
		go func() {
			defer theirs.Close()
			br := bufio.NewReader(theirs)
			if _, err := http.ReadRequest(br); err != nil {
				return
			}
			for step := max(1, piece&0xff); len(bytes) > 0; {
				n := min(step, len(bytes))
				if _, err := theirs.Write(bytes[:n]); err != nil {
					return
				}
				bytes = bytes[n:]
			}
		}()
		p := NewPool("target")
		p.dial = func(context.Context) (net.Conn, error) { return ours, nil }
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		a, err := p.Do(ctx, exchange("a"))
		if err != nil {
			require.NotErrorIs(t, err, context.DeadlineExceeded)
			return
		}
		require.Equal(t, "a", a.Header.Get("Id"))
		require.LessOrEqual(t, len(a.Body), exchange("a").MaxBody)
		if stated := a.Header.Get("Content-Length"); stated != "" && a.Header.Get("Transfer-Encoding") == "" {
			var n int
			if _, err := fmt.Sscan(stated, &n); err == nil {
				require.Len(t, a.Body, n)
			}
		}
	})
}
