package measure

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var seeds = flag.Int("seeds", 4, "number of seeds of the randomised test")

// fault is a fault of the randomised test.
type fault struct {
	name  string
	start func(w *World)
	end   func(w *World)
}

// drawFault draws a fault. Names of targets are drawn by index, because the world does not exist yet.
func drawFault(rng *rand.Rand, site Site) fault {
	n := 0
	for i := range site.Services {
		n += site.Services[i].Targets
	}
	target, zone, factor := rng.IntN(n), rng.IntN(site.Zones), 2+8*rng.Float64()
	switch rng.IntN(5) {
	case 0:
		return fault{fmt.Sprintf("cut zone %d", zone), func(w *World) { w.CutZone(zone) }, func(w *World) { w.Heal() }}
	case 1:
		return fault{fmt.Sprintf("slow target %d by %.1f", target, factor),
			func(w *World) { w.members[target].target.slow(factor) },
			func(w *World) { w.members[target].target.slow(1) }}
	case 2:
		return fault{fmt.Sprintf("target %d refuses", target),
			func(w *World) { w.SetRefusing(w.members[target], true) },
			func(w *World) { w.SetRefusing(w.members[target], false) }}
	case 3:
		return fault{"platform down", func(w *World) { w.SetPlatformDown(true) }, func(w *World) { w.SetPlatformDown(false) }}
	default:
		// Two targets of every service stay, because only the first target of a service leaves.
		leaver := target / 3 * 3
		return fault{fmt.Sprintf("target %d leaves", leaver), func(w *World) { w.Leave(w.members[leaver]) }, func(*World) {}}
	}
}

// drawScenario draws a scenario with faults and the description of it.
func drawScenario(seed uint64, site Site) (Scenario, string) {
	rng := newRand(seed)
	load := 0.5 + 1.5*rng.Float64()
	s := Scenario{
		Name: "random", Length: 12 * time.Second, TriggerStart: 5500 * time.Millisecond, TriggerEnd: 9 * time.Second,
		Clients: Clients{Tries: 1 + rng.IntN(4), Hard: rng.IntN(2) == 0, Leave: 0.3 * rng.Float64()},
		Options: Options{Seed: seed, CallerKeys: callerKeys, Mislead: map[string]bool{"front-0": rng.IntN(2) == 0, "deep-1": rng.IntN(2) == 0}},
	}
	s.Load = between(s.TriggerStart, s.TriggerEnd, load)
	text := fmt.Sprintf("load %.2f, callers %+v", load, s.Clients)
	type timed struct {
		fault
		from, to time.Duration
	}
	var faults []timed
	for range 1 + rng.IntN(4) {
		from := time.Duration(rng.Int64N(int64(8 * time.Second)))
		f := timed{drawFault(rng, site), from, from + time.Duration(rng.Int64N(int64(5*time.Second)))}
		faults = append(faults, f)
		text += fmt.Sprintf("; %s from %s to %s", f.name, f.from, f.to)
	}
	s.Begin = func(w *World) {
		for _, f := range faults {
			time.AfterFunc(f.from, func() { f.start(w) })
			time.AfterFunc(f.to, func() { f.end(w) })
		}
	}
	return s, text
}

// Guards against combinations of faults that break a promise. The invariants of the program panic in tests.
func TestRandomFaults(t *testing.T) {
	for seed := uint64(1); seed <= uint64(*seeds); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			s, text := drawScenario(seed, smallSite())
			t.Logf("seed %d: %s", seed, text)
			f := run(t, smallSite(), Real, s)
			t.Log(f.summary())
			requirePromises(t, f)
		})
	}
}
