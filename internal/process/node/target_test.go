package node

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
	"github.com/wigeoncleat/wigeoncleat/internal/standin/rawserver"
	"github.com/wigeoncleat/wigeoncleat/internal/version/policy"
)

// startTarget starts a target that passes each accepted connection and its number, from 1, to serve. It returns a client for
// the target.
func startTarget(t *testing.T, serve func(n int, conn net.Conn, in *bufio.Reader)) *targetClient {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for n := 1; ; n++ {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = conn.Close() })
			go serve(n, conn, bufio.NewReader(conn))
		}
	}()
	c, err := newTargetClient(t.Context(), l.Addr().String(), func() *policy.Policy { return nil })
	require.NoError(t, err)
	return c
}

func targetRequest(method string, body []byte) *message.Request {
	return &message.Request{ID: message.NewID(), Method: method, Path: "/", Body: body, Deadline: time.Now().Add(time.Minute)}
}

// Guards against surplus data after a response that is taken for the response to the next request.
func TestLeftoverOfTargetIsDropped(t *testing.T) {
	c := startTarget(t, func(n int, conn net.Conn, in *bufio.Reader) {
		for range 2 {
			if _, err := http.ReadRequest(in); err != nil {
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 103 Early Hints\r\n\r\n"+completeResponse+"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale")
		}
	})
	for range 6 {
		r := c.Do(t.Context(), targetRequest(http.MethodGet, nil))
		if r.Outcome == message.Answered {
			require.Equal(t, "good", string(r.Body))
		}
	}
}

// Guards against a request that is reported as declined, or sent to another target, while this one runs it: the target has sent an
// earlier response that declines a request once more.
func TestDeclineThatIsSentAgainIsNoAnswer(t *testing.T) {
	const decline = "HTTP/1.1 503 Busy\r\nWigeon-Declined: true\r\nContent-Length: 0\r\n\r\n"
	c := startTarget(t, func(n int, conn net.Conn, in *bufio.Reader) {
		if _, err := http.ReadRequest(in); err != nil {
			return
		}
		if n > 1 {
			_, _ = io.WriteString(conn, completeResponse)
			return
		}
		_, _ = io.WriteString(conn, decline)
		if _, err := http.ReadRequest(in); err == nil {
			_, _ = io.WriteString(conn, decline)
		}
	})
	first := c.Do(t.Context(), targetRequest(http.MethodGet, nil))
	require.Equal(t, message.Declined, first.Header.Get(message.HeaderDeclined))
	second := c.Do(t.Context(), targetRequest(http.MethodGet, nil))
	require.Empty(t, second.Header.Get(message.HeaderDeclined))
}

// Guards against a response whose head broke off and that reaches the caller as a success with an empty body.
func TestResponseThatEndsInItsHeadIsNoSuccess(t *testing.T) {
	c := startTarget(t, func(n int, conn net.Conn, in *bufio.Reader) {
		if _, err := http.ReadRequest(in); err == nil {
			_, _ = io.WriteString(conn, completeResponse[:n%(len(completeResponse)-1)])
		}
		_ = conn.Close()
	})
	for range len(completeResponse) - 1 {
		r := c.Do(t.Context(), targetRequest(http.MethodPost, []byte("x")))
		require.Equal(t, message.Unknown, r.Outcome, "%v", r)
	}
}

// Guards against a request that hangs until its deadline because the target responds before it has read a large body.
func TestTargetAnswersBeforeTheBody(t *testing.T) {
	c := startTarget(t, func(_ int, conn net.Conn, in *bufio.Reader) {
		if _, err := http.ReadRequest(in); err == nil {
			_, _ = io.WriteString(conn, "HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n\r\n")
		}
	})
	for range 2 {
		r := c.Do(t.Context(), targetRequest(http.MethodPost, make([]byte, 16<<20)))
		require.Equal(t, message.Answered, r.Outcome, "%v", r.Err)
		require.Equal(t, http.StatusRequestEntityTooLarge, r.Status)
	}
}

// Guards against a redirect that the node follows itself: the retry budget of the request would not count that attempt.
func TestRedirectIsAnAnswer(t *testing.T) {
	c := startTarget(t, func(_ int, conn net.Conn, in *bufio.Reader) {
		for {
			if _, err := http.ReadRequest(in); err != nil {
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 302 Found\r\nLocation: /other\r\nContent-Length: 0\r\n\r\n")
		}
	})
	r := c.Do(t.Context(), targetRequest(http.MethodGet, nil))
	require.Equal(t, http.StatusFound, r.Status)
	require.Equal(t, "/other", r.Header.Get("Location"))
}

// Guards against a request that keeps running at the target after its context was cancelled.
func TestTargetCallEndsWithItsContext(t *testing.T) {
	gone := make(chan error, 1)
	ctx, cancel := context.WithCancel(t.Context())
	c := startTarget(t, func(_ int, _ net.Conn, in *bufio.Reader) {
		_, _ = http.ReadRequest(in)
		cancel()
		_, err := in.ReadByte()
		gone <- err
	})
	r := c.Do(ctx, targetRequest(http.MethodGet, nil))
	require.Equal(t, []any{message.Unknown, message.ReasonCancelled}, []any{r.Outcome, r.Reason})
	require.ErrorIs(t, <-gone, io.EOF)
}

// Guards against a malformed response that is passed on, and against one that another request pays for.
func TestMalformedResponseIsNoAnswer(t *testing.T) {
	for name, text := range rawserver.Malformed("") {
		t.Run(name, func(t *testing.T) {
			c := startTarget(t, func(n int, conn net.Conn, in *bufio.Reader) {
				if _, err := http.ReadRequest(in); err != nil {
					return
				}
				if n > 1 {
					text = completeResponse
				}
				_, _ = io.WriteString(conn, text)
				_, _ = in.ReadByte() // until the connection is closed
				_ = conn.Close()
			})
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			r := c.Do(ctx, targetRequest(http.MethodPost, nil))
			require.Equal(t, []any{message.Unknown, message.ReasonConnection}, []any{r.Outcome, r.Reason}, "%+v", r)
			r = c.Do(ctx, targetRequest(http.MethodPost, nil))
			require.Equal(t, "good", string(r.Body))
		})
	}
}
