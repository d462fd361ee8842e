package chains

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
)

const (
	refusedAgainPrice = 0.3  // of the worth of a request that returned and was refused again at the end
	inversionPrice    = 0.5  // of the worth of a request that is served more often than more urgent ones
	inversionAllowed  = 0.05 // difference of the served shares that is free
	priceWindow       = 2 * time.Second
	minPriceRequests  = 50 // of a kind in a window; the shares of fewer say little
)

// prices returns what was lost by requests that were refused again, and by requests that were served more often than more urgent
// ones that need the same service.
func prices(site Site, out []Outcome) (again, inversion float64) {
	type key struct {
		kind   string
		window int
	}
	type count struct{ n, served float64 }
	counts := map[key]*count{}
	for _, o := range out {
		c := counts[key{o.Kind.Name, int(o.Start / priceWindow)}]
		if c == nil {
			c = new(count)
			counts[key{o.Kind.Name, int(o.Start / priceWindow)}] = c
		}
		c.n++
		if o.Worth > 0 {
			c.served++
		} else if o.Status == message.NotRun && o.Refused > 1 {
			again += refusedAgainPrice * o.Kind.Worth
		}
	}
	for i := range site.Kinds {
		low := &site.Kinds[i]
		for k, c := range counts {
			if k.kind != low.Name || c.n < minPriceRequests {
				continue
			}
			allowed := 1.0
			for j := range site.Kinds {
				high := counts[key{site.Kinds[j].Name, k.window}]
				if high != nil && high.n >= minPriceRequests && site.Kinds[j].Priority < low.Priority && sharesService(site, low, &site.Kinds[j]) {
					allowed = min(allowed, high.served/high.n+inversionAllowed)
				}
			}
			inversion += inversionPrice * low.Worth * max(0, c.served-allowed*c.n)
		}
	}
	return again, inversion
}

// sharesService reports whether requests of two kinds need a service in common.
func sharesService(site Site, a, b *Kind) bool {
	services := needed(site, a)
	for s := range needed(site, b) {
		if services[s] {
			return true
		}
	}
	return false
}

func needed(site Site, k *Kind) map[string]bool {
	out := map[string]bool{k.Service: true}
	for _, c := range k.Calls {
		for i := range site.Kinds {
			if site.Kinds[i].Name == c.Kind {
				for s := range needed(site, &site.Kinds[i]) {
					out[s] = true
				}
			}
		}
	}
	return out
}

// Guards against prices that miss an inversion through a downstream service, or that charge for requests that need other services.
func TestPricesOfInversions(t *testing.T) {
	site := ScarceSonda()
	add := func(out []Outcome, kind int, n, served int) []Outcome {
		for i := range n {
			o := Outcome{Kind: &site.Kinds[kind]}
			if i < served {
				o.Worth = o.Kind.Worth
			}
			out = append(out, o)
		}
		return out
	}
	out := add(nil, 1, 100, 40) // visit-book, through mando to sonda
	out = add(out, 3, 100, 75)  // live-read of sonda
	again, inversion := prices(site, out)
	require.Zero(t, again)
	require.InDelta(t, 0.5*2*30, inversion, 1e-9)
	_, inversion = prices(site, add(add(nil, 2, 100, 10), 3, 100, 75)) // actuator-order needs only mando
	require.Zero(t, inversion)
}
