package measure

import (
	"flag"
	"os"
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
	docs     = flag.String("docs", "", "write measurements.md and plots into this directory")
)

// run measures in a bubble of virtual time.
func run(t *testing.T, site Site, system System, s Scenario) Figures {
	var f Figures
	synctest.Test(t, func(t *testing.T) { f = Run(site, system, s) })
	return f
}

// selected returns the measurements that the flags ask for, without figures.
func selected() Report {
	var out Report
	for _, site := range []Site{Haetsal(), Gnomon()} {
		for _, s := range Scenarios() {
			for _, system := range []System{Naive, Real} {
				if *siteName != "" && site.Name != *siteName || *scenario != "" && s.Name != *scenario ||
					*only != "" && string(system) != *only {
					continue
				}
				out = append(out, Measurement{Site: site, Scenario: s, System: system})
			}
		}
	}
	return out
}

// TestMeasure prints the figures of the selected scenarios and writes the report. It runs on demand only: make measure.
func TestMeasure(t *testing.T) {
	if !*full {
		t.Log("run by make measure")
		return
	}
	report := selected()
	t.Run("runs", func(t *testing.T) {
		for i := range report {
			x := &report[i]
			t.Run(x.name()+"/"+string(x.System), func(t *testing.T) {
				t.Parallel()
				start := time.Now()
				x.Figures = run(t, x.Site, x.System, x.Scenario)
				t.Logf("%d requests in %.1f s", x.Figures.Requests, time.Since(start).Seconds())
			})
		}
	})
	require.NoError(t, report.Lines(os.Stdout))
	if *docs != "" {
		require.NoError(t, report.Write(*docs))
	}
}

func TestSites(t *testing.T) {
	for _, s := range []Site{Haetsal(), Gnomon()} {
		require.Greater(t, s.Rate, 100.0)
		t.Logf("%s: %.0f requests a second", s.Name, s.Rate)
	}
}
