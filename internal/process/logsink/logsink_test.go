package logsink

import (
	"bytes"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"
)

// blockedWriter is an output that blocks until open is closed.
type blockedWriter struct {
	open chan struct{}
	bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.open
	return w.Buffer.Write(p)
}

// Guards against requests that block on a slow reader of the log, and against a buffer that grows without bound meanwhile.
func TestFullSinkDropsAndCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blockedWriter{open: make(chan struct{})}
		s := New(out)
		line := bytes.Repeat([]byte("x"), 1023)
		line = append(line, '\n')
		for range 1024 {
			n, err := s.Write(line)
			require.NoError(t, err)
			require.Equal(t, len(line), n)
		}
		require.Positive(t, s.Dropped())
		close(out.open)
		s.Close()
		require.Equal(t, int64(1024), s.Dropped()+int64(bytes.Count(out.Bytes(), []byte{'\n'})))
	})
}
