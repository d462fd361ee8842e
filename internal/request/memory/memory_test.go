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

// Guards against bytes that are counted twice, never returned, or reserved beyond the budget by concurrent requests.
func TestConcurrentReservationsStayWithinBudget(t *testing.T) {
	b := NewBudget(100 << 10)
	var wg sync.WaitGroup
	for range 64 {
		wg.Go(func() {
			res := b.NewReservation()
			defer res.Release()
			for range 10 {
				res.Reserve(3 << 10)
				require.LessOrEqual(t, b.Used(), int64(100<<10)+64*3<<10) // reservations that fail count for a moment
			}
		})
	}
	wg.Wait()
	require.Zero(t, b.Used())
}

// Guards against a declared length that reserves memory before any byte of the body has arrived.
func TestDeclaredLengthIsNotTrusted(t *testing.T) {
	b := NewBudget(1 << 30)
	_, err := b.NewReservation().ReadAll(strings.NewReader("short"), 16<<20, 16<<20)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	require.LessOrEqual(t, b.Used(), int64(initialBuffer))
}

func TestReadAllReturnsCompleteBody(t *testing.T) {
	body := bytes.Repeat([]byte("abc"), 10000)
	for name, size := range map[string]int64{"length": int64(len(body)), "no length": -1} {
		got, err := (*Reservation)(nil).ReadAll(iotest.OneByteReader(bytes.NewReader(body)), size, len(body))
		require.NoError(t, err, name)
		require.Equal(t, body, got, name)
	}
	got, err := (*Reservation)(nil).ReadAll(strings.NewReader(""), 0, 10)
	require.NoError(t, err)
	require.Empty(t, got)
}

// Guards against an endless body that is read until the process is out of memory.
func TestEndlessBody(t *testing.T) {
	endless := func() io.Reader { return iotest.DataErrReader(zeros{}) }
	_, err := (*Reservation)(nil).ReadAll(endless(), -1, 1<<20)
	require.ErrorIs(t, err, ErrSize)
	b := NewBudget(64 << 10)
	res := b.NewReservation()
	_, err = res.ReadAll(endless(), -1, 1<<20)
	require.ErrorIs(t, err, ErrBudget)
	require.LessOrEqual(t, b.Used(), int64(64<<10))
	res.Release()
	require.Zero(t, b.Used())
	require.False(t, res.Reserve(1), "the request has ended")
	require.Zero(t, b.Used())
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }
