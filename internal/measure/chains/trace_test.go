package chains

import (
	"fmt"
	"os"
	"sort"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func TestTrace(t *testing.T) {
	if !*full {
		return
	}
	site := Sloughgrass()
	if os.Getenv("LOST") != "" {
		site.Services[3].Speeds = []float64{0.6, 1, 1.4}
	}
	factor := 1.05
	fmt.Sscanf(os.Getenv("FACTOR"), "%f", &factor)
	shedShare := 0.0
	fmt.Sscanf(os.Getenv("SHED"), "%f", &shedShare)
	l := Load{Events: []Event{{At: 8 * time.Second, Service: Deepest, Shed: shedShare}, {At: 16 * time.Second, Service: Deepest}}, Length: 25 * time.Second, Rate: func(at time.Duration) float64 { return factor }}
	synctest.Test(t, func(t *testing.T) {
		w, err := NewWorld(site, 1, limits)
		require.NoError(t, err)
		done := make(chan struct{})
		type row struct{ at, busy, queued, th, trail float64 }
		var rows []row
		go func() {
			begin := time.Now()
			var acc row
			n := 0.0
			for {
				select {
				case <-done:
					return
				default:
				}
				time.Sleep(10 * time.Millisecond)
				n++
				for _, nd := range w.nodes {
					if nd.service.Name == "gravelyard" {
						acc.busy += float64(nd.busy.Load())
						acc.queued += float64(max(0, nd.path.Load().InFlight-int(nd.busy.Load())))
					}
					if nd.service.Name == "trailboard" {
						acc.trail += float64(nd.busy.Load())
					}
				}
				if n == 100 {
					rows = append(rows, row{time.Since(begin).Seconds(), acc.busy / n, acc.queued / n, 0, acc.trail / n})
					acc, n = row{}, 0
				}
			}
		}()
		out := Run(w, l)
		close(done)
		time.Sleep(time.Second)
		type cell struct{ n, good, late, failed, refused float64 }
		by := map[string]map[int]*cell{}
		for _, o := range out {
			m := by[o.Kind.Name]
			if m == nil {
				m = map[int]*cell{}
				by[o.Kind.Name] = m
			}
			c := m[int(o.Start/time.Second)]
			if c == nil {
				c = &cell{}
				m[int(o.Start/time.Second)] = c
			}
			tot := m[-1]
			if tot == nil {
				tot = &cell{}
				m[-1] = tot
			}
			for _, c := range []*cell{c, tot} {
				c.n++
				switch {
				case o.Worth == o.Kind.Worth:
					c.good++
				case o.Worth > 0:
					c.late++
				case o.Failed:
					c.failed++
				default:
					c.refused++
				}
			}
		}
		if os.Getenv("ROWS") == "" {
			rows = nil
		}
		for i, r := range rows {
			c := by["path-status"][i]
			if c == nil {
				c = &cell{}
			}
			fmt.Printf("%4.0f yard busy %5.1f queued %5.1f trail %5.1f | path n %3.0f good %3.0f late %3.0f failed %3.0f refused %3.0f\n", r.at, r.busy, r.queued, r.trail, c.n, c.good, c.late, c.failed, c.refused)
		}
		whole, _, worst := sums(out)
		fmt.Printf("worth %.3f worst %.3f\n", whole.worth/whole.owed, worst)
		fmt.Print("crossed ", Crossed.Load(), " sent local ", Local.Load())
		CrossedBy.Range(func(k, v any) bool { fmt.Print(" ", k, " ", v.(*atomic.Int64).Load()); return true })
		fmt.Println()
		var names []string
		for k := range by {
			names = append(names, k)
		}
		sort.Strings(names)
		for _, k := range names {
			c := by[k][-1]
			fmt.Printf("%-14s n %5.0f good %.3f late %.3f failed %.3f refused %.3f\n", k, c.n, c.good/c.n, c.late/c.n, c.failed/c.n, c.refused/c.n)
		}
		for _, n := range w.nodes {
			n.path.Shut()
		}
	})
}
