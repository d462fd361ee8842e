package logsink

import (
	"bytes"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"
)

// gate is an output that blocks until it is opened.
type gate struct {
	open chan struct{}
	bytes.Buffer
}

func (g *gate) Write(p []byte) (int, error) {
	<-g.open
	return g.Buffer.Write(p)
}

// Guards against requests that wait for whoever reads the log, and against memory that grows meanwhile.
func TestFullSinkDropsAndCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &gate{open: make(chan struct{})}
		s := New(g)
		line := bytes.Repeat([]byte("x"), 1023)
		line = append(line, '\n')
		for range 1024 {
			n, err := s.Write(line)
			require.NoError(t, err)
			require.Equal(t, len(line), n)
		}
		require.Positive(t, s.Dropped())
		close(g.open)
		s.Close()
		require.Equal(t, int64(1024), s.Dropped()+int64(bytes.Count(g.Bytes(), []byte{'\n'})))
	})
}
