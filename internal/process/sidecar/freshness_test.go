package sidecar

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wigeoncleat/wigeoncleat/internal/process/freshness"
	"github.com/wigeoncleat/wigeoncleat/internal/version/organisation"
	"github.com/wigeoncleat/wigeoncleat/internal/version/routing"
)

const revokeLimit = 5 * time.Second

// runStrictFleet runs a fleet with organisations and strict revocation, in virtual time. It cannot read the configuration of the
// version unreadable; zero: none.
func runStrictFleet(t *testing.T, unreadable byte, test func(t *testing.T, f *fleet)) {
	configureFleet(t, func(s *Sidecar) {
		start := time.Now().Add(-time.Hour)
		s.settings.Revocation = Revocation{Strict: true, Limit: revokeLimit}
		s.confirmations = newConfirmations(revokeLimit)
		s.confirmations.clock = func() (freshness.Moment, bool) { return time.Since(start), true }
		decode := s.opts.DecodeConfig
		s.opts.DecodeConfig = func(body []byte) (*routing.Table, error) {
			if unreadable != 0 && body[0] == unreadable {
				return nil, routing.ErrInvalid
			}
			table, err := decode(body)
			if err == nil {
				table.Organisations = organisation.NewSet()
				table.Organisations.Add(organisation.Organisation{Name: "a"})
			}
			return table, err
		}
		s.path = s.newPath()
		s.background.Go(s.keepConfirmed)
	}, test)
}

// acceptsKeys reports whether a node accepts keys, and of which version.
func acceptsKeys(s *Sidecar) (routing.Version, bool) { return s.version(), s.keysConfirmed(s.stamp()) }

// Guards against nodes that come near the limit in a calm deployment, and against a price for that in calls of the store.
func TestCalmDeploymentStaysConfirmed(t *testing.T) {
	runStrictFleet(t, 0, func(t *testing.T, f *fleet) {
		time.Sleep(2 * time.Second)
		calls := f.store.calls.Load()
		oldest := time.Duration(0)
		for range 300 {
			time.Sleep(100 * time.Millisecond)
			for address, s := range f.nodes {
				_, ok := acceptsKeys(s)
				require.True(t, ok, "node %s", address)
				now, _ := s.confirmations.clock()
				age, _ := s.confirmations.tracker.Age(now)
				oldest = max(oldest, age)
			}
		}
		require.Less(t, oldest, revokeLimit*6/10)
		require.LessOrEqual(t, f.store.calls.Load()-calls, int64(200), "three followers with a call every 0.8 s, and the others'")
	})
}

// Guards against keys that are accepted by an old configuration after the limit, against nodes that stop accepting keys because
// followers are lost, and against ones that never accept any again.
func TestRevocationIsInForceAlthoughNodesAreLost(t *testing.T) {
	for name, scope := range map[string]func(*Sidecar) bool{
		"followers of one zone": func(s *Sidecar) bool { return s.following.Load() && s.settings.Zone == "zone-0" },
		"all followers":         func(s *Sidecar) bool { return s.following.Load() },
		"one zone":              func(s *Sidecar) bool { return s.settings.Zone == "zone-1" },
	} {
		t.Run(name, func(t *testing.T) {
			runStrictFleet(t, 0, func(t *testing.T, f *fleet) {
				lost := map[string]bool{}
				for address, s := range f.nodes {
					lost[address] = scope(s)
				}
				set := func(frozen bool) {
					for address := range lost {
						f.mu.Lock()
						f.frozen[address] = frozen && lost[address]
						f.mu.Unlock()
						f.stores[address].silent.Store(frozen && lost[address])
					}
				}
				set(true)
				cut := time.Now()
				withdrawn := f.store.change()
				for time.Since(cut) < 8*time.Second {
					time.Sleep(50 * time.Millisecond)
					for address, s := range f.nodes {
						v, ok := acceptsKeys(s)
						switch {
						case time.Since(cut) > revokeLimit:
							require.False(t, ok && v < withdrawn, "node %s accepts keys of version %d", address, v)
							require.True(t, ok || lost[address], "node %s accepts no keys", address)
						case time.Since(cut) < 1400*time.Millisecond: // 3 s after a confirmation that was at most 1.6 s old
							require.True(t, ok || lost[address], "node %s accepts no keys", address)
						}
					}
				}
				set(false)
				time.Sleep(8 * time.Second)
				for address, s := range f.nodes {
					v, ok := acceptsKeys(s)
					require.True(t, ok, "node %s accepts no keys again", address)
					require.Equal(t, withdrawn, v)
				}
			})
		})
	}
}

// Guards against a configuration that cannot be read, and may withdraw keys, while polls go on to confirm the one before.
func TestUnreadableConfigurationIsNotConfirmed(t *testing.T) {
	runStrictFleet(t, 5, func(t *testing.T, f *fleet) {
		f.store.change()
		time.Sleep(revokeLimit)
		for address, s := range f.nodes {
			_, ok := acceptsKeys(s)
			require.False(t, ok, "node %s", address)
		}
		f.store.change()
		time.Sleep(3 * time.Second)
		for address, s := range f.nodes {
			_, ok := acceptsKeys(s)
			require.True(t, ok, "node %s", address)
		}
	})
}
