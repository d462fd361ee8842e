package entry

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a graceful stop that never ends a connection on which a caller always has several requests in progress, and that
// then cuts off those that were passed on last.
func TestStopEndsAConnectionThatIsNeverIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, br, h, s := connect(t)
		stopped := false
		write(t, c, get("/300ms/0")+get("/300ms/1"))
		for n := range 100 {
			go func() { _, _ = io.WriteString(c, get("/300ms/next")) }()
			_, _, last := read(t, br)
			if last {
				require.LessOrEqual(t, n, 5, "responses until the end is announced")
				break
			}
			if n == 2 {
				s.DisableKeepAlives()
				stopped = true
			}
			require.Less(t, n, 50, "the end of the connection is never announced")
		}
		require.True(t, stopped)
		_, err := br.ReadByte()
		require.ErrorIs(t, err, io.EOF)
		synctest.Wait()
		require.Empty(t, h.cancelled)
	})
}

// Guards against a connection that ends without notice because its only response was being sent when the stop began: the response
// cannot announce the end any more, so that the next request has to be served.
func TestRequestBehindAResponseThatWasBeingSentAtAStopIsAnswered(t *testing.T) {
	for name, stop := range map[string]func(*Server){"announced": (*Server).DisableKeepAlives, "closed": (*Server).CloseIdle} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, br, _, s := connect(t)
				write(t, c, get("/a"))
				synctest.Wait() // the response is being sent: the pipe has no buffer
				stop(s)
				time.Sleep(2 * CloseDelay)
				_, body, last := read(t, br)
				require.Equal(t, "/a ", body)
				require.False(t, last)
				time.Sleep(CloseDelay / 2)
				write(t, c, get("/b"))
				_, body, last = read(t, br)
				require.Equal(t, "/b ", body)
				require.True(t, last)
			})
		})
	}
}

// Guards against a request that is read and then dropped because it arrived while the server stops: its response has to announce the
// end of the connection, and earlier responses must not.
func TestRequestThatArrivesDuringAStopEndsItsConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, br, _, s := connect(t)
		write(t, c, get("/300ms/a")+"POST /100ms/b HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbo")
		synctest.Wait()
		s.DisableKeepAlives()
		_, body, last := read(t, br)
		require.Equal(t, "/300ms/a ", body)
		require.False(t, last)
		go func() { _, _ = io.WriteString(c, "dy"+get("/c")) }()
		_, body, last = read(t, br)
		require.Equal(t, "/100ms/b body", body)
		require.True(t, last)
	})
}

// Guards against a request whose body arrives so late in a stop that the process ends before the response: it must be refused as not
// run, also behind other requests, and whether it is half read in its header, its body or in chunks.
func TestRequestThatArrivesTooLateInAStopIsRefused(t *testing.T) {
	for name, half := range map[string]string{
		"header":        "POST /x HTTP/1.1\r\nHost: x\r\nContent-Le",
		"body":          "POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 8\r\n\r\nhalf",
		"chunks":        "POST /x HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"expected body": "POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 8\r\nExpect: 100-continue\r\n\r\n",
	} {
		for _, before := range []string{"", get("/50ms/before")} {
			t.Run(name+strings.TrimSuffix(strings.ReplaceAll(before[:min(len(before), 17)], "/", " "), " HTTP"), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c, br, h, s := connect(t)
					go func() { _, _ = io.WriteString(c, before+half) }()
					time.Sleep(100 * time.Millisecond)
					s.CloseIdle()
					time.Sleep(time.Second)
					s.RefuseArriving()
					if before != "" {
						_, body, last := read(t, br)
						require.Equal(t, "/50ms/before ", body)
						require.False(t, last)
					}
					status, _, last := read(t, br)
					if status == http.StatusContinue {
						status, _, last = read(t, br)
					}
					require.Equal(t, http.StatusServiceUnavailable, status)
					require.True(t, last)
					require.NotContains(t, h.seen, "/x")
				})
			})
		}
	}
}

// Guards against a request that was complete when the rest of the stop's arrivals were refused, and is refused with them.
func TestCompleteRequestIsNotRefusedInAStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, br, _, s := connect(t)
		write(t, c, get("/1s/a"))
		synctest.Wait()
		s.CloseIdle()
		s.RefuseArriving()
		status, body, last := read(t, br)
		require.Equal(t, http.StatusOK, status)
		require.Equal(t, "/1s/a ", body)
		require.True(t, last)
	})
}

// Guards against callers of requests that are still in progress at the end of a stop and find their connection closed: they are told
// what is known of the outcome.
func TestRequestsThatAreGivenUpAreAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, br, h, s := connect(t)
		write(t, c, get("/20s/a")+get("/30s/b"))
		synctest.Wait()
		s.CloseIdle()
		start := time.Now()
		s.GiveUp(errors.New("stopping"))
		for _, want := range []string{"/20s/a ", "/30s/b "} {
			_, body, last := read(t, br)
			require.Equal(t, want, body)
			require.Equal(t, want == "/30s/b ", last)
		}
		require.Zero(t, time.Since(start))
		require.ElementsMatch(t, []string{"/20s/a", "/30s/b"}, h.cancelled)
		synctest.Wait()
	})
}

// Guards against a caller whose request is still arriving when the rest is given up and who finds its connection closed.
func TestRequestThatStillArrivesAtTheEndOfAStopIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, br, h, s := connect(t)
		write(t, c, get("/20s/a")+"POST /b HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbo")
		synctest.Wait()
		s.GiveUp(errors.New("stopping"))
		_, body, last := read(t, br)
		require.Equal(t, "/20s/a ", body)
		require.False(t, last)
		start := time.Now()
		status, _, last := read(t, br)
		require.Equal(t, http.StatusServiceUnavailable, status)
		require.True(t, last)
		require.Zero(t, time.Since(start))
		require.Equal(t, []string{"/20s/a"}, h.seen)
	})
}

// Guards against a body that stops arriving and that ends its connection without a response, with all requests before it.
func TestBodyThatStopsArrivingIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, br, h, _ := connect(t)
		write(t, c, get("/1s/a")+"POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 8\r\n\r\nhalf")
		status, body, _ := read(t, br)
		require.Equal(t, http.StatusOK, status)
		require.Equal(t, "/1s/a ", body)
		status, _, last := read(t, br)
		require.Equal(t, http.StatusRequestTimeout, status)
		require.True(t, last)
		require.Equal(t, []string{"/1s/a"}, h.seen)
	})
}

// Guards against a process that exits while a caller has not read its last response: the exit resets a connection with unread bytes,
// and the response can be lost. Such a connection must count until its caller had time to read.
func TestConnectionCountsWhileItsCallerMayStillRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, br, _, s := connect(t)
		write(t, c, get("/100ms/a"))
		synctest.Wait()
		s.CloseIdle()
		_, _, last := read(t, br)
		require.True(t, last)
		synctest.Wait()
		require.Equal(t, 1, s.Connections())
		time.Sleep(lingerTime)
		synctest.Wait()
		require.Zero(t, s.Connections())
		_ = c.Close()
	})
}

// Guards against a call of a running request that is refused in a stop because it began to arrive just before the late requests were
// refused.
func TestRequestThatHasJustBegunToArriveIsNotRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, br, _, s := connect(t)
		write(t, c, "POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbo")
		time.Sleep(CloseDelay / 2)
		s.DisableKeepAlives()
		s.RefuseArriving()
		time.Sleep(CloseDelay)
		write(t, c, "dy")
		status, body, _ := read(t, br)
		require.Equal(t, http.StatusOK, status)
		require.Equal(t, "/x body", body)
	})
}
