package membership

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/wigeoncleat/wigeoncleat/internal/process/event"
	"github.com/wigeoncleat/wigeoncleat/internal/process/platform"
)

// KeyPrefix is the prefix of the keys of registrations. It is followed by the availability zone and the address.
const KeyPrefix = "members/"

const (
	// rowsPerLookup bounds the rows that one lookup reads. Rows of former members stay, because platform.Table cannot
	// delete rows, so a lookup must read more rows than it needs.
	rowsPerLookup = 512
	// seedsPerLookup is the number of most recent registrations that become seeds.
	seedsPerLookup = 16
	// registerSpacing is the mean time between two registrations of all members after the platform was restored, which makes 200
	// writes a second.
	registerSpacing = 5 * time.Millisecond
)

// registration is the value of a row.
type registration struct {
	Address string `cbor:"1,keyasint"`
	Time    int64  `cbor:"2,keyasint"` // Unix seconds
}

// registerAndLookUp registers an active node in the platform's table every RegisterInterval, and reads the
// registrations of other nodes only when this node starts and while it reaches no peer. Reads and writes are this rare
// because 2,300 nodes share the rate to which the platform limits them.
func (r *Runner) registerAndLookUp(ctx context.Context) {
	rng := rand.New(rand.NewPCG(r.opt.Seed, hashAddress(r.opt.Self.Address)+1))
	var nextLookup, nextRegister time.Time
	var epoch platform.Epoch // of the platform, as known at the last tick
	ticker := time.NewTicker(r.opt.TickInterval)
	defer ticker.Stop()
	for {
		now := time.Now()
		status, alone, members := r.reachability()
		if e := r.opt.Table.Epoch(); e > epoch {
			if epoch > 0 { // the platform was restored, and may have lost the row
				nextRegister = now.Add(time.Duration(rng.Int64N(int64(members) * int64(registerSpacing))))
			}
			epoch = e
		}
		if (alone || status == StatusJoining || status == StatusIsolated) && !now.Before(nextLookup) {
			nextLookup = now.Add(withJitter(rng, r.opt.LookupInterval))
			r.lookUpSeeds(ctx, rng)
		}
		if status == StatusActive && !now.Before(nextRegister) {
			nextRegister = now.Add(withJitter(rng, r.opt.RegisterInterval))
			if err := r.register(ctx); err != nil && ctx.Err() == nil {
				event.Log(r.opt.Logger, event.RegistrationFailed, slog.String("error", err.Error()))
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// withJitter returns a random duration within 20 % of d.
func withJitter(rng *rand.Rand, d time.Duration) time.Duration {
	return d*4/5 + time.Duration(rng.Int64N(int64(d)*2/5+1))
}

// reachability returns the status, whether the node knows no live peer, and the number of live members with this one.
func (r *Runner) reachability() (status Status, alone bool, members int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	size := r.machine.graph.size
	return r.machine.status, size <= 1, max(1, size)
}

func registrationKey(zone, address string) string { return KeyPrefix + zone + "/" + address }

func (r *Runner) register(ctx context.Context) error {
	value, err := cbor.Marshal(registration{Address: r.opt.Self.Address, Time: time.Now().Unix()})
	if err != nil {
		return fmt.Errorf("encode registration: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, r.opt.TableTimeout)
	defer cancel()
	// A write with an unknown outcome is not read back: it is idempotent, and the next one follows within minutes.
	if _, err := r.opt.Table.Put(ctx, registrationKey(r.opt.Self.Zone, r.opt.Self.Address), value, platform.Condition{}); err != nil {
		return fmt.Errorf("register: %w", err)
	}
	return nil
}

// lookUpSeeds reads the registrations of other nodes in this node's availability zone, or in all zones if there are
// none in its own, and adds the most recent ones to the seeds.
func (r *Runner) lookUpSeeds(ctx context.Context, rng *rand.Rand) {
	seeds, err := r.readRegistrations(ctx, KeyPrefix+r.opt.Self.Zone+"/")
	if err == nil && len(seeds) == 0 {
		seeds, err = r.readRegistrations(ctx, KeyPrefix)
	}
	if err != nil {
		if ctx.Err() == nil {
			event.Log(r.opt.Logger, event.LookupFailed, slog.String("error", err.Error()))
		}
		return
	}
	rng.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	r.withMachine(func(now time.Time) { r.machine.AddSeeds(now, seeds) })
}

func (r *Runner) readRegistrations(ctx context.Context, prefix string) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, r.opt.TableTimeout)
	defer cancel()
	rows, err := r.opt.Table.List(ctx, prefix, rowsPerLookup)
	if err != nil {
		return nil, fmt.Errorf("read registrations: %w", err)
	}
	registrations := make([]registration, 0, len(rows))
	for _, row := range rows {
		var reg registration
		if err := cbor.Unmarshal(row.Value, &reg); err != nil || reg.Address == "" || reg.Address == r.opt.Self.Address {
			continue // one invalid row must not keep the node from joining through the others
		}
		registrations = append(registrations, reg)
	}
	slices.SortStableFunc(registrations, func(a, b registration) int { return int(b.Time - a.Time) })
	registrations = registrations[:min(len(registrations), seedsPerLookup)]
	seeds := make([]string, len(registrations))
	for i := range registrations {
		seeds[i] = registrations[i].Address
	}
	return seeds, nil
}
