package platform

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wigeoncleat/wigeoncleat/internal/standin/rawserver"
)

func startRaw(t *testing.T, h rawserver.Handler) *Client {
	s := rawserver.Start(h)
	t.Cleanup(s.Close)
	c, err := NewClient("http://"+s.Address(), 5*time.Second, HeaderEpoch, &NewestEpoch{})
	require.NoError(t, err)
	return c
}

// Guards against a malformed response that is taken for the result of a write.
func TestMalformedResponseLeavesAWriteInDoubt(t *testing.T) {
	for name, text := range rawserver.Malformed("Etag: \"1\"\r\n") {
		t.Run(name, func(t *testing.T) {
			c := startRaw(t, rawserver.Respond(text))
			r, err := c.Do(t.Context(), Request{Method: http.MethodPut, Path: "/", Body: []byte("x"), Write: true})
			require.ErrorIs(t, err, ErrInDoubt, "%+v", r)
			require.NotContains(t, err.Error(), "deadline")
		})
	}
}

// Guards against a part of a response that is taken for the whole, because the connection was reset while the request was being written.
func TestResponseThatIsResetLeavesAWriteInDoubt(t *testing.T) {
	for _, size := range []int{4 << 10, 1 << 20, 8 << 20} {
		t.Run(fmt.Sprintf("%d bytes", size), func(t *testing.T) {
			for range 20 {
				c := startRaw(t, func(c *net.TCPConn, br *bufio.Reader) {
					rawserver.ReadHead(br)
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\na part")
					time.Sleep(time.Millisecond)
					rawserver.Reset(c)
				})
				r, err := c.Do(t.Context(), Request{Method: http.MethodPut, Path: "/", Body: make([]byte, size), Write: true})
				require.ErrorIs(t, err, ErrInDoubt, "%+v", r)
			}
		})
	}
}
