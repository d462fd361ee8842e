package admission

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
)

// pacedAt is a Pacer with a limit that the test sets.
type pacedAt struct{ limit int }

func (p *pacedAt) Limit(unpaced int) int { return min(p.limit, unpaced) }

// Guards against a cold target that gets more requests than its pace allows, or the less urgent ones first, and against waiting
// requests that are not started when the pace rises. Eight requests of two ranks arrive at a target of ten slots at a pace of two.
func TestPaceBoundsTheRequestsInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &pacedAt{2}
		c := New(Limits{Slots: 10, Connections: 10, QueueLength: 10, QueueMaxWait: time.Second})
		c.SetPace(p)
		var mu sync.Mutex
		var running []*Permit
		var ranks []uint8
		for i := range 8 {
			rank := uint8(50 + 50*(i%2))
			go func() {
				permit, err := c.Acquire(context.Background(), Work{Priority: message.NewPriority(rank, message.ID{byte(i)})})
				mu.Lock()
				defer mu.Unlock()
				if err == nil {
					running, ranks = append(running, permit), append(ranks, rank)
				}
			}()
			synctest.Wait()
		}
		mu.Lock()
		require.Equal(t, []uint8{50, 100}, ranks)
		mu.Unlock()
		require.Equal(t, message.Load{InFlight: 8, Limit: 2}, c.Load())
		time.Sleep(10 * time.Millisecond)
		p.limit = 5
		first, second := running[0], running[1]
		first.Release(Result{Latency: 10 * time.Millisecond})
		synctest.Wait()
		mu.Lock()
		require.ElementsMatch(t, []uint8{100, 100, 100, 50}, ranks[2:], "four free slots, the urgent requests first")
		require.Equal(t, 5, c.Load().Limit)
		mu.Unlock()
		p.limit = 10
		second.Release(Result{Latency: 10 * time.Millisecond})
		synctest.Wait()
		mu.Lock()
		defer mu.Unlock()
		require.Len(t, ranks, 8)
		require.False(t, c.paced())
	})
}
