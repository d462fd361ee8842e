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
	measureAll = flag.Bool("chains", false, "measure every load on both sites")
	seeds      = flag.Uint64("chains.seeds", 3, "runs of each load, with seeds from 1 on")
	onlySite   = flag.String("chains.site", "", "measure this site only")
	firstSeed  = flag.Uint64("chains.first", 1, "seed of the first run")
	onlyLoad   = flag.String("chains.load", "", "measure this load only")
)

// limits returns the admission limits that the sidecar sets for a target.
func limits(slots int) admission.Limits { return sidecar.TargetLimits(slots, slots) }

// runLoad runs a load profile in a synctest bubble.
func runLoad(t *testing.T, site Site, seed uint64, l LoadProfile) []Outcome {
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

// tally counts requests (n), what they could have earned (maxWorth) and did earn (worth), and the requests that earned nothing:
// those that failed after a target had begun to run them (failed), and the others (refused).
type tally struct{ n, maxWorth, worth, failed, refused float64 }

func (s *tally) add(o Outcome) {
	s.n++
	s.maxWorth += o.Kind.Worth
	s.worth += o.Worth
	if o.Worth == 0 && o.FailedAfterRun {
		s.failed++
	} else if o.Worth == 0 {
		s.refused++
	}
}

// summarize returns the tally of all requests, the tallies by kind, and the smallest share of the possible worth that the
// requests starting within one window earned.
func summarize(out []Outcome) (total tally, kinds map[string]*tally, worst float64) {
	kinds = map[string]*tally{}
	windows := map[int]*tally{}
	const window = 2 * time.Second
	for _, o := range out {
		total.add(o)
		for _, s := range []*tally{getOrCreate(kinds, o.Kind.Name), getOrCreate(windows, int(o.Start/window))} {
			s.add(o)
		}
	}
	worst = 1
	for _, s := range windows {
		worst = min(worst, s.worth/s.maxWorth)
	}
	return total, kinds, worst
}

func getOrCreate[K comparable](m map[K]*tally, key K) *tally {
	if m[key] == nil {
		m[key] = new(tally)
	}
	return m[key]
}

// TestMeasureChains prints the figures of every load profile. It does nothing without the flag -chains, which
// `make measure-chains` sets.
func TestMeasureChains(t *testing.T) {
	if !*measureAll {
		t.Log("run by make measure-chains")
		return
	}
	for _, site := range []Site{Haetsal(), Gnomon(), Sloughgrass(), ScarceSonda(), ScarceInspection()} {
		for _, l := range LoadProfiles() {
			if *onlyLoad != "" && l.Name != *onlyLoad || *onlySite != "" && site.Name != *onlySite {
				continue
			}
			t.Run(site.Name+"/"+l.Name, func(t *testing.T) {
				t.Parallel()
				var all []Outcome
				for seed := range *seeds {
					all = append(all, runLoad(t, site, seed+*firstSeed, l)...)
				}
				total, kinds, worst := summarize(all)
				againPrice, inversionPrice := prices(site, all)
				var list []string
				for _, k := range site.Kinds {
					if s := kinds[k.Name]; s != nil {
						list = append(list, fmt.Sprintf("%s %.3f (%.0f failed, %.0f refused)", k.Name, s.worth/s.maxWorth, s.failed, s.refused))
					}
				}
				fmt.Fprintf(os.Stdout, "%-10s %-18s worth %.3f, net %.3f, worst window %.3f, failed %.3f, refused %.3f, prices %.3f %.3f; %s\n", site.Name, l.Name,
					total.worth/total.maxWorth, (total.worth-againPrice-inversionPrice)/total.maxWorth, worst, total.failed/total.n, total.refused/total.n,
					againPrice/total.maxWorth, inversionPrice/total.maxWorth, strings.Join(list, ", "))
			})
		}
	}
}

// Guards against faults in a surge over a deep service with few slots: orders that run twice, orders that are reported as not
// run although they ran, and orders that earn less than less urgent requests by more than the users allow.
func TestPromisesHoldUnderASurge(t *testing.T) {
	const allowed = 0.05 // difference of the earned shares that the users allow between requests of the same service
	surge := LoadProfiles()[slices.IndexFunc(LoadProfiles(), func(l LoadProfile) bool { return l.Name == "surge" })]
	surge.Length = 9 * time.Second // 4 s of them at the higher load
	out := runLoad(t, Haetsal(), 1, surge)
	_, kinds, _ := summarize(out)
	require.Greater(t, len(out), 500)
	for _, o := range out {
		require.False(t, o.RanTwice, "a %s ran twice", o.Kind.Name)
		require.Zero(t, o.FalseNotRun, "a %s was reported as not run although it ran", o.Kind.Name)
	}
	order := kinds["stock-order"].worth / kinds["stock-order"].maxWorth
	for _, k := range []string{"menu-read", "supply-read", "royalty-read"} {
		require.Greater(t, order, kinds[k].worth/kinds[k].maxWorth-allowed, "%s earns more than orders", k)
	}
}

// Guards against orders that are reported as not run although they ran, or run twice, while they are refused at their entry because
// the deepest service refuses calls, and against refusals that start no order at all.
func TestPromisesHoldWhileTheDeepestServiceRefuses(t *testing.T) {
	load := LoadProfiles()[slices.IndexFunc(LoadProfiles(), func(l LoadProfile) bool { return l.Name == "scarce" })]
	load.Length = 8 * time.Second // 3 s of them with refusing targets
	out := runLoad(t, Haetsal(), 1, load)
	refused, ran := 0, 0
	for _, o := range out {
		require.False(t, o.RanTwice, "a %s ran twice", o.Kind.Name)
		require.Zero(t, o.FalseNotRun, "a %s was reported as not run although it ran", o.Kind.Name)
		if o.Kind.Once && o.Start > 6*time.Second {
			if o.Refused > 0 {
				refused++
			}
			if o.FailedAfterRun || o.Worth > 0 {
				ran++
			}
		}
	}
	require.Positive(t, refused)
	require.Positive(t, ran)
}
