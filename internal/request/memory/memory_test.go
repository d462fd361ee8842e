package memory

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
)

// Guards against bodies that are counted twice, never given back, or taken beyond the budget by requests that run together.
func TestBudgetHoldsOverManyRequests(t *testing.T) {
	b := NewBudget(100 << 10)
	var wg sync.WaitGroup
	for range 64 {
		wg.Go(func() {
			h := b.Hold()
			defer h.Release()
			for range 10 {
				h.Take(3 << 10)
				require.LessOrEqual(t, b.Used(), int64(100<<10)+64*3<<10) // takes that fail count for a moment
			}
		})
	}
	wg.Wait()
	require.Zero(t, b.Used())
}

// Guards against a stated length that takes memory before any byte of the body has arrived.
func TestStatedLengthIsNotBelieved(t *testing.T) {
	b := NewBudget(1 << 30)
	_, err := b.Hold().ReadAll(strings.NewReader("short"), 16<<20, 16<<20)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	require.LessOrEqual(t, b.Used(), int64(firstRead))
}

func TestReadAllReturnsWholeBodies(t *testing.T) {
	body := bytes.Repeat([]byte("abc"), 10000)
	for name, size := range map[string]int64{"length": int64(len(body)), "no length": -1} {
		got, err := (*Hold)(nil).ReadAll(iotest.OneByteReader(bytes.NewReader(body)), size, len(body))
		require.NoError(t, err, name)
		require.Equal(t, body, got, name)
	}
	got, err := (*Hold)(nil).ReadAll(strings.NewReader(""), 0, 10)
	require.NoError(t, err)
	require.Empty(t, got)
}

// Guards against a body without end that is read until the process has no memory left.
func TestBodyWithoutEnd(t *testing.T) {
	endless := func() io.Reader { return iotest.DataErrReader(zeros{}) }
	_, err := (*Hold)(nil).ReadAll(endless(), -1, 1<<20)
	require.ErrorIs(t, err, ErrSize)
	b := NewBudget(64 << 10)
	h := b.Hold()
	_, err = h.ReadAll(endless(), -1, 1<<20)
	require.ErrorIs(t, err, ErrBudget)
	require.LessOrEqual(t, b.Used(), int64(64<<10))
	h.Release()
	require.Zero(t, b.Used())
	require.False(t, h.Take(1), "the request has ended")
	require.Zero(t, b.Used())
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }
