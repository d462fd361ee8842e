package directory

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/wigeoncleat/wigeoncleat/internal/process/report"
)

func member(address string, incarnation, revision uint64) Member {
	return Member{
		Address: address, Incarnation: incarnation, Revision: revision,
		Service: "menu", Instance: "i-" + address, Phase: report.PhaseReady, Slots: 36,
	}
}

// Guards against an old entry that makes a target serve again that has left since.
func TestOlderEntryLoses(t *testing.T) {
	d := New(member("a", 1, 0))
	left := member("b", 1, 3)
	left.Phase = report.PhaseDraining
	require.Len(t, d.Merge([]Member{left}).Changed, 1)
	require.Empty(t, d.Merge([]Member{member("b", 1, 2)}).Changed)
	require.Empty(t, d.Targets()["menu"][1:], "only the node's own target remains")
	require.Len(t, d.Merge([]Member{member("b", 2, 0)}).Changed, 1, "a higher incarnation is newer whatever the revision")
	require.Len(t, d.Targets()["menu"], 1, "its target is still the leaving one")
	later := member("b", 2, 1)
	later.Sequence = left.Sequence + 1
	d.Merge([]Member{later})
	require.Len(t, d.Targets()["menu"], 2, "a newer report says that the target is ready")
}

// Guards against a node whose clock went back before its restart: other nodes would ignore its entries.
func TestEntryOutlivesAClockThatWentBack(t *testing.T) {
	d := New(member("a", 100, 0))
	out := d.Merge([]Member{member("a", 900, 5)})
	require.NotNil(t, out.RememberedSelf)
	require.Equal(t, uint64(901), d.Self().Incarnation)
	other := New(member("b", 1, 0))
	other.Merge([]Member{member("a", 900, 5)})
	require.Len(t, other.Merge([]Member{d.Self()}).Changed, 1)
}

// Guards against a drain that is lost because the restarted node introduces itself before another node tells it of the
// drain.
func TestDrainOutlivesTheIntroductionOfARestartedNode(t *testing.T) {
	other := New(member("b", 1, 0))
	left := member("a", 100, 3)
	left.Phase, left.Sequence = report.PhaseGone, 9
	other.Merge([]Member{left})
	restarted := New(Member{Address: "a", Incarnation: 200})
	other.Merge([]Member{restarted.Self()})
	out := restarted.Merge(other.All())
	require.NotNil(t, out.RememberedSelf)
	require.Equal(t, left.Instance, out.RememberedSelf.Instance)
	require.Equal(t, report.PhaseGone, out.RememberedSelf.Phase)
	require.Equal(t, int64(9), out.RememberedSelf.Sequence)
	require.Empty(t, other.Targets()["menu"][1:], "only the other node's own target")
	old := restarted.Update(func(m *Member) {
		m.Instance, m.Phase, m.Service, m.Sequence = left.Instance, report.PhaseReady, "menu", 4
	})
	other.Merge([]Member{old})
	require.Len(t, other.Targets()["menu"], 1, "the restarted node accepted an old report before it knew of the drain")
	next := restarted.Update(func(m *Member) { m.Instance, m.Phase, m.Service = "i-new", report.PhaseReady, "menu" })
	other.Merge([]Member{next})
	require.Len(t, other.Targets()["menu"], 2)
	require.Nil(t, restarted.Merge(other.All()).RememberedSelf)
}

// Guards against requests to a node that cannot be reached, and against one that gets none after it is back.
func TestUnreachableNodeGetsNoRequests(t *testing.T) {
	d := New(member("a", 1, 0))
	d.Merge([]Member{member("b", 1, 1)})
	require.True(t, d.SetDown("b", time.Now()))
	require.False(t, d.SetDown("b", time.Now()))
	require.Len(t, d.Targets()["menu"], 1)
	up, down := d.Peers()
	require.Empty(t, up)
	require.Equal(t, []string{"b"}, down)
	require.True(t, d.SetUp("b"))
	require.Len(t, d.Targets()["menu"], 2)
	require.False(t, d.SetDown("a", time.Now()), "a node never marks itself as unreachable")
}

// Guards against an entry with only an address that is passed on or counted as a target.
func TestIntroducedNodeIsNoTarget(t *testing.T) {
	d := New(member("a", 1, 0))
	digest := d.Digest()
	require.True(t, d.Introduce("b", ""))
	require.False(t, d.Introduce("b", ""))
	require.Equal(t, digest, d.Digest())
	require.Len(t, d.Targets()["menu"], 1)
}

// Guards against views that depend on the order in which entries arrive, for example over links that recover one by one.
func TestViewsConvergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Member {
			return member(rapid.SampledFrom([]string{"b", "c", "d"}).Draw(t, "address"),
				rapid.Uint64Range(1, 3).Draw(t, "incarnation"), rapid.Uint64Range(0, 3).Draw(t, "revision"))
		}), 1, 20).Draw(t, "entries")
		one, two := New(member("a", 1, 0)), New(member("a", 1, 0))
		one.Merge(list)
		for _, m := range rapid.Permutation(list).Draw(t, "order") {
			two.Merge([]Member{m})
		}
		if one.Digest() != two.Digest() {
			t.Fatalf("views differ: %v and %v", one.All(), two.All())
		}
	})
}
