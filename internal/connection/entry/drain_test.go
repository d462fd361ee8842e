package entry

import (
	"io"
	"testing"
	"testing/synctest"

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
