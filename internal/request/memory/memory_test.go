package memory

import (
	"bytes"
	"context"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against bytes that are counted twice, never returned, or reserved beyond the budget by concurrent requests.
func TestConcurrentReservationsStayWithinBudget(t *testing.T) {
	b := NewBudget(100 << 10)
	var wg sync.WaitGroup
	for range 64 {
		wg.Go(func() {
			res := b.NewReservation(Requests)
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
	_, err := b.NewReservation(Requests).ReadAll(strings.NewReader("short"), 16<<20, 16<<20)
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
	res := b.NewReservation(Requests)
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

// Guards against large bodies that fill the budget so that ordinary requests find no room.
func TestLargeReservationsLeaveRoomForSmallOnes(t *testing.T) {
	b := NewBudget(100 << 20)
	for n, p := range []Purpose{Forwarded, Responses} {
		for b.NewReservation(p).Reserve(1 << 20) {
			n++
		}
		require.Less(t, b.Used(), b.Limit()*96/100)
	}
	require.True(t, b.NewReservation(Responses).Reserve(16<<10))
}

// Guards against waiting reservations that are passed over, granted twice or lost, and against one that does not fit and holds up
// those of another purpose.
func TestWaitingReservationsAreGrantedInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := NewBudget(10 << 20)
		first := b.NewReservation(Forwarded)
		require.True(t, first.Reserve(6<<20))
		var order []string
		var mu sync.Mutex
		acquire := func(name string, p Purpose, n int64) *Reservation {
			res := b.NewReservation(p)
			go func() {
				if res.Acquire(t.Context(), n) == nil {
					mu.Lock()
					defer mu.Unlock()
					order = append(order, name)
				}
			}()
			synctest.Wait()
			return res
		}
		large := acquire("large", Forwarded, 7<<20)
		later := acquire("later", Forwarded, 2<<20)
		other := acquire("response", Responses, 1<<20)
		require.Equal(t, []string{"response"}, order)
		first.Release()
		synctest.Wait()
		require.Equal(t, []string{"response", "large"}, order)
		large.Release()
		synctest.Wait()
		require.Equal(t, []string{"response", "large", "later"}, order)
		for _, res := range []*Reservation{later, other} {
			res.Release()
		}
		require.Zero(t, b.Used())
		require.Zero(t, b.Waiting())
	})
}

// Guards against a reservation that waits for ever, or that is counted although its wait has ended.
func TestWaitEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := NewBudget(1 << 20)
		calls := 0
		b.MakeRoom = func() { calls++ }
		holder := b.NewReservation(Responses)
		require.True(t, holder.Reserve(900<<10))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		res := b.NewReservation(Responses)
		require.ErrorIs(t, res.Acquire(ctx, 200<<10), ErrBudget)
		require.Greater(t, calls, 10)
		require.ErrorIs(t, res.Acquire(t.Context(), 2<<20), ErrBudget, "it would never fit")
		holder.Release()
		require.Zero(t, b.Used())
	})
}
