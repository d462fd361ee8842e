package chains

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wigeoncleat/wigeoncleat/internal/process/admission"
	"github.com/wigeoncleat/wigeoncleat/internal/process/sidecar"
)

var (
	full     = flag.Bool("chains", false, "measure every load on both sites")
	seeds    = flag.Uint64("chains.seeds", 3, "runs of each load, with seeds from 1 on")
	onlyLoad = flag.String("chains.load", "", "measure this load only")
)

func limits(slots int) admission.Limits { return sidecar.TargetLimits(slots, slots) }

func play(t *testing.T, site Site, seed uint64, l LoadProfile) []Outcome {
	t.Helper()
	var out []Outcome
	synctest.Test(t, func(t *testing.T) {
		w, err := NewWorld(site, seed, limits)
		require.NoError(t, err)
		out = Run(w, l)
		for _, n := range w.nodes {
			n.path.DetachTarget()
		}
	})
	return out
}

// share sums up what requests earned, as a share of what they could have, and how many failed after they had run.
type share struct{ n, owed, worth, failed, refused float64 }

func (s *share) add(o Outcome) {
	s.n++
	s.owed += o.Kind.Worth
	s.worth += o.Worth
	if o.Worth == 0 && o.FailedAfterRun {
		s.failed++
	} else if o.Worth == 0 {
		s.refused++
	}
}

func sums(out []Outcome) (whole share, kinds map[string]*share, worst float64) {
	kinds = map[string]*share{}
	windows := map[int]*share{}
	const window = 2 * time.Second
	for _, o := range out {
		whole.add(o)
		for _, s := range []*share{at(kinds, o.Kind.Name), at(windows, int(o.Start/window))} {
			s.add(o)
		}
	}
	worst = 1
	for _, s := range windows {
		worst = min(worst, s.worth/s.owed)
	}
	return whole, kinds, worst
}

func at[K comparable](m map[K]*share, key K) *share {
	if m[key] == nil {
		m[key] = new(share)
	}
	return m[key]
}

// TestMeasureChains prints the figures of every load. It runs on demand only: make measure-chains.
func TestMeasureChains(t *testing.T) {
	if !*full {
		t.Log("run by make measure-chains")
		return
	}
	for _, site := range []Site{Haetsal(), Gnomon(), Sloughgrass()} {
		for _, l := range LoadProfiles() {
			if *onlyLoad != "" && l.Name != *onlyLoad {
				continue
			}
			t.Run(site.Name+"/"+l.Name, func(t *testing.T) {
				t.Parallel()
				var all []Outcome
				for seed := range *seeds {
					all = append(all, play(t, site, seed+1, l)...)
				}
				whole, kinds, worst := sums(all)
				var list []string
				for _, k := range site.Kinds {
					if s := kinds[k.Name]; s != nil {
						list = append(list, fmt.Sprintf("%s %.3f", k.Name, s.worth/s.owed))
					}
				}
				fmt.Fprintf(os.Stdout, "%-10s %-18s worth %.3f, worst window %.3f, failed %.3f, refused %.3f; %s\n", site.Name, l.Name,
					whole.worth/whole.owed, worst, whole.failed/whole.n, whole.refused/whole.n, strings.Join(list, ", "))
			})
		}
	}
}

// Guards against orders that run twice or were refused and have run, and against orders that earn less than what is less
// urgent, by more than the users allow, in a surge over a deep service with few slots.
func TestPromisesHoldUnderASurge(t *testing.T) {
	const allowed = 0.05 // by the users' rules, of requests of the same service
	surge := LoadProfiles()[slices.IndexFunc(LoadProfiles(), func(l LoadProfile) bool { return l.Name == "surge" })]
	surge.Length = 9 * time.Second // four of them at the higher load
	out := play(t, Haetsal(), 1, surge)
	_, kinds, _ := sums(out)
	require.Greater(t, len(out), 500)
	for _, o := range out {
		require.False(t, o.RanTwice, "a %s ran twice", o.Kind.Name)
		require.Zero(t, o.FalseNotRun, "a %s was refused and has run", o.Kind.Name)
	}
	order := kinds["stock-order"].worth / kinds["stock-order"].owed
	for _, k := range []string{"menu-read", "supply-read", "royalty-read"} {
		require.Greater(t, order, kinds[k].worth/kinds[k].owed-allowed, "%s earns more than orders", k)
	}
}
