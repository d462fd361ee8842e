package platform

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a service of the platform, or what answers in its place, that fills the memory of a node with bytes without end: in a
// head, a body or a trailer, behind a whole response, and on a connection that is idle.
func TestBytesWithoutEndEndTheCall(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, c := range map[string]struct {
		start, repeated string
		answered        bool
	}{
		"one header line":         {"HTTP/1.1 200 OK\r\nX: ", "x", false},
		"many header lines":       {"HTTP/1.1 200 OK\r\n", "X: y\r\n", false},
		"informational responses": {"", "HTTP/1.1 103 Early Hints\r\n\r\n", false},
		"no protocol":             {"", "\x00", false},
		"body":                    {"HTTP/1.1 200 OK\r\n\r\n", "x", false},
		"chunks":                  {chunked, "1\r\nx\r\n", false},
		"trailer":                 {chunked + "0\r\n", "X: y\r\n", false},
		"behind a response":       {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "x", true},
	} {
		t.Run(name, func(t *testing.T) {
			var sent atomic.Int64
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer l.Close()
			go func() {
				for conn, err := l.Accept(); err == nil; conn, err = l.Accept() {
					go sendEndlessly(conn, c.start, c.repeated, &sent)
				}
			}()
			client, err := NewClient("http://"+l.Addr().String(), 5*time.Second, HeaderEpoch, &NewestEpoch{})
			require.NoError(t, err)
			r, err := client.Do(t.Context(), Request{Method: http.MethodGet, Path: "/"})
			if c.answered {
				require.NoError(t, err)
				require.Equal(t, "ok", string(r.Body))
			} else {
				require.Error(t, err)
			}
			time.Sleep(100 * time.Millisecond) // it sends on until its connection is closed
			const encodingOverhead = 8         // of chunks of one byte
			require.Less(t, sent.Load(), int64(encodingOverhead*maxResponse))
			require.NoError(t, client.Close())
		})
	}
}

// sendEndlessly answers a request and counts the bytes that were taken from it.
func sendEndlessly(conn net.Conn, start, repeated string, sent *atomic.Int64) {
	defer conn.Close()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	_, err := io.WriteString(conn, start)
	for piece := strings.Repeat(repeated, 4<<10); err == nil; {
		var n int
		n, err = io.WriteString(conn, piece)
		sent.Add(int64(n))
	}
}
