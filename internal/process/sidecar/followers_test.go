package sidecar

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against nodes that serve an older configuration because all followers of the store, or all those of their zone, are lost
// at the moment of a change: killed, frozen, or cut from the store without an error.
func TestChangeIsInForceInTimeAlthoughFollowersAreLost(t *testing.T) {
	lose := map[string]func(f *fleet, address string){
		"killed": func(f *fleet, address string) { f.kill(address) },
		"frozen": func(f *fleet, address string) {
			f.mu.Lock()
			f.frozen[address] = true
			f.mu.Unlock()
			f.stores[address].silent.Store(true)
		},
		"cut from the store": func(f *fleet, address string) { f.stores[address].silent.Store(true) },
	}
	for name, loseFollower := range lose {
		for _, zones := range []string{"zone-0", "all zones"} {
			t.Run(name+", "+zones, func(t *testing.T) {
				runFleet(t, func(t *testing.T, f *fleet) {
					lost := map[string]bool{}
					for address, s := range f.nodes {
						if s.following.Load() && (zones == "all zones" || s.settings.Zone == zones) {
							lost[address] = true
						}
					}
					require.NotEmpty(t, lost)
					for address := range lost {
						loseFollower(f, address)
					}
					v := f.store.change()
					time.Sleep(configBound)
					for address, s := range f.nodes {
						if !lost[address] {
							require.Equal(t, v, s.version(), "node %s", address)
						}
					}
				})
			})
		}
	}
}
