package measure

import (
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

var (
	full     = flag.Bool("measure", false, "run every scenario at full length")
	scenario = flag.String("scenario", "", "run this scenario only")
	siteName = flag.String("site", "", "run this site only")
	only     = flag.String("system", "", "run this system only")
)

// run measures in a bubble of virtual time.
func run(t *testing.T, site Site, system System, s Scenario) Figures {
	var f Figures
	synctest.Test(t, func(t *testing.T) { f = Run(site, system, s) })
	return f
}

// TestMeasure prints the figures of all scenarios. It runs on demand only: make measure.
func TestMeasure(t *testing.T) {
	if !*full {
		t.Log("run by make measure")
		return
	}
	for _, site := range []Site{Haetsal(), Gnomon()} {
		for _, s := range Scenarios() {
			for _, system := range []System{Naive, Real} {
				if *siteName != "" && site.Name != *siteName || *scenario != "" && s.Name != *scenario ||
					*only != "" && string(system) != *only {
					continue
				}
				t.Run(fmt.Sprintf("%s/%s/%s", site.Name, s.Name, system), func(t *testing.T) {
					t.Parallel()
					start := time.Now()
					f := run(t, site, system, s)
					t.Logf("goodput %.3f orders %.4f recovery %.2f wasted %.3f attempts %d dup %d falsenotrun %d mixed %d n %d (%.1fs)",
						f.Goodput, f.OrderSuccess, f.Recovery, f.Wasted, f.Attempts, f.Duplicates, f.FalseNotRun, f.Mixed, f.Requests, time.Since(start).Seconds())
				})
			}
		}
	}
}

func TestSites(t *testing.T) {
	for _, s := range []Site{Haetsal(), Gnomon()} {
		require.Greater(t, s.Rate, 100.0)
		t.Logf("%s: %.0f requests a second", s.Name, s.Rate)
	}
}
