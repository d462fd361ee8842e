package targetconn

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"
)

func refusal(id string) string {
	return "HTTP/1.1 503 Service Unavailable\r\nId: " + id + "\r\nContent-Length: 0\r\n\r\n"
}

// Guards against a request that is reported as not run, or run elsewhere, because the target has sent an earlier refusal once more:
// that of another request, and that of an attempt with the same ID, as calls have that a target makes again.
func TestRefusalThatIsSentAgainIsNoAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeTarget{scripts: []func(net.Conn, *bufio.Reader){
			func(c net.Conn, br *bufio.Reader) {
				_, _ = io.WriteString(c, refusal(readOne(t, br)))
				_, _ = io.WriteString(c, refusal("a")+response(readOne(t, br), "two"))
				readOne(t, br)
				_, _ = io.WriteString(c, refusal("a"))
			},
			func(c net.Conn, br *bufio.Reader) { _, _ = io.WriteString(c, response(readOne(t, br), "three")) },
		}}
		p := f.pool()
		first, err := do(t, p, "a")
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, first.Status)
		other, err := do(t, p, "b")
		require.NoError(t, err)
		require.Equal(t, "two", string(other.Body))
		again, err := do(t, p, "a")
		require.NoError(t, err)
		require.Equal(t, "three", string(again.Body))
		p.Close()
	})
}

// Guards against memory of a connection that grows with the failures it has carried.
func TestConnectionWithManyFailuresIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		refuseAll := func(c net.Conn, br *bufio.Reader) {
			for id := readOne(t, br); id != ""; id = readOne(t, br) {
				_, _ = io.WriteString(c, refusal(id))
			}
		}
		f := &fakeTarget{scripts: []func(net.Conn, *bufio.Reader){refuseAll, refuseAll}}
		p := f.pool()
		for i := range maxFailedIDs + 2 {
			_, err := do(t, p, strconv.Itoa(i))
			require.NoError(t, err)
		}
		require.Equal(t, 2, p.Opened())
		p.Close()
	})
}

// Guards against a response whose head broke off and that reaches the caller as a success with an empty or short body.
func TestResponseThatEndsInItsHeadIsAnError(t *testing.T) {
	// A body without length ends with the connection, so only its head is cut.
	untilClose := "HTTP/1.1 200 OK\r\nId: a\r\nConnection: close\r\nServer: x\r\n\r\n"
	for _, whole := range []string{
		response("a", ""),
		response("a", "body"),
		"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\n" + response("a", ""),
		untilClose,
	} {
		for n := range len(whole) {
			synctest.Test(t, func(t *testing.T) {
				f := &fakeTarget{scripts: []func(net.Conn, *bufio.Reader){func(c net.Conn, br *bufio.Reader) {
					readOne(t, br)
					_, _ = io.WriteString(c, whole[:n])
				}}}
				_, err := do(t, f.pool(), "a")
				var failed *Error
				require.ErrorAs(t, err, &failed, "%q", whole[:n])
				require.True(t, failed.Sent)
			})
		}
	}
}
