package measure

import (
	"cmp"
	"flag"
	"os"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

var (
	measureAll = flag.Bool("measure", false, "run every scenario at full length")
	scenario   = flag.String("scenario", "", "run this scenario only")
	siteName   = flag.String("site", "", "run this site only")
	systemName = flag.String("system", "", "run this system only")
	overlay    = flag.String("overlay", "", "use the overlay of this site for all sites")
	docs       = flag.String("docs", "", "write measurements.md and plots into this directory")
)

// examples is the directory of the policy files.
const examples = "../../examples"

// run calls Run in a synctest bubble.
func run(t *testing.T, site Site, system System, s Scenario) Figures {
	var f Figures
	synctest.Test(t, func(t *testing.T) { f = Run(site, system, s) })
	return f
}

// selected returns the measurements that the flags select, without figures.
func selected(t *testing.T) Report {
	var out Report
	for _, site := range []Site{Haetsal(), Gnomon()} {
		site, err := site.WithOverlay(examples, cmp.Or(*overlay, site.Name))
		require.NoError(t, err)
		for _, s := range Scenarios() {
			for _, system := range []System{Naive, Real} {
				if *siteName != "" && site.Name != *siteName || *scenario != "" && s.Name != *scenario ||
					*systemName != "" && string(system) != *systemName {
					continue
				}
				out = append(out, Measurement{Site: site, Scenario: s, System: system})
				if system == Real && *overlay == "" && slices.Contains(settingsScenarios, s.Name) {
					out = append(out, settingsMeasurements(t, site, s)...)
				}
			}
		}
	}
	return out
}

// settingsScenarios lists the scenarios of the comparison of settings.
var settingsScenarios = []string{"surge", "deep-slow"}

// runsPerSettings is the number of runs for each scenario and settings.
const runsPerSettings = 3

// settingsMeasurements returns measurements of a scenario with the settings of the base file alone and of each site. Each has
// several runs with different seeds, because single runs with the same settings differ as much as the means for different
// settings.
func settingsMeasurements(t *testing.T, site Site, s Scenario) Report {
	var out Report
	for _, name := range []string{BaseFileOnly, Haetsal().Name, Gnomon().Name} {
		with, err := site.WithOverlay(examples, name)
		require.NoError(t, err)
		for range runsPerSettings {
			s.Options.Seed += 100
			out = append(out, Measurement{Site: with, Scenario: s, System: Real, Overlay: name})
		}
	}
	return out
}

// TestMeasure prints the figures of the selected scenarios, and writes the report if -docs is set. It does nothing without the
// flag -measure, which `make measure` sets.
func TestMeasure(t *testing.T) {
	if !*measureAll {
		t.Log("run by make measure")
		return
	}
	report := selected(t)
	t.Run("runs", func(t *testing.T) {
		for i := range report {
			x := &report[i]
			t.Run(x.name()+"/"+string(x.System)+x.Overlay, func(t *testing.T) {
				t.Parallel()
				start := time.Now()
				x.Figures = run(t, x.Site, x.System, x.Scenario)
				t.Logf("%d requests in %.1f s", x.Figures.Requests, time.Since(start).Seconds())
			})
		}
	})
	require.NoError(t, report.WriteLines(os.Stdout))
	if *docs != "" {
		require.NoError(t, report.WriteDocs(*docs))
	}
}

func TestSites(t *testing.T) {
	for _, s := range []Site{Haetsal(), Gnomon()} {
		require.Greater(t, s.SaturationRate, 100.0)
		t.Logf("%s: %.0f requests a second", s.Name, s.SaturationRate)
	}
}
