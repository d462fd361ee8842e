package rollout

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a machine that does not notice that a member's state changed, because of a new view or because time has
// passed (a member stops being live, or expires). After every tick, its derived state must equal that of a full rebuild.
func TestMembersAreFollowed(t *testing.T) {
	for seed := range uint64(20) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		m := New(Config{Address: "n0", Zone: "z0", Epoch: 1}, 0)
		view := make([]Member, 12)
		for i := range view {
			view[i] = Member{Address: fmt.Sprint("n", i), Zone: fmt.Sprint("z", i%3), Alive: rnd.IntN(2) == 0}
		}
		steps := []time.Duration{100 * time.Millisecond, 100 * time.Millisecond, time.Second, rosterWindow / 2}
		now := Time(0)
		for range 400 {
			now += steps[rnd.IntN(len(steps))]
			switch v := &view[rnd.IntN(len(view))]; rnd.IntN(6) {
			case 0:
				v.Alive = !v.Alive
				m.SetMembers(now, view)
			case 1:
				v.Left = !v.Left
				m.SetMembers(now, view)
			case 2:
				m.SetMembers(now, view[:rnd.IntN(len(view))])
			case 3, 4:
				m.Refresh(now)
			}
			m.Tick(now)
			r, live, rank, zoneSizes, mask, near := m.roster, m.liveCount, m.rank, m.zoneSizes, m.zoneMask, m.neighbours
			m.rebuild()
			require.Equal(t, []any{m.roster, m.liveCount, m.rank, m.zoneSizes, m.zoneMask, m.neighbours}, []any{r, live, rank, zoneSizes, mask, near},
				"seed %d at %v", seed, now)
		}
	}
}
