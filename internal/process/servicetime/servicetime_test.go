package servicetime

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
)

// record adds n requests of a kind that end at the given interval, and returns the time after them.
func record(m *Meter, now time.Duration, n int, interval, own time.Duration) time.Duration {
	for range n {
		now += interval
		m.Record("read", own, 0, now)
	}
	return now
}

// Guards against a pause that shows late, becomes the usual time, or counts after it has ended. The load is 200 requests a second, of
// which those within 0.6 s take 2.5 times as long.
func TestPauseShowsWithinAFewRequests(t *testing.T) {
	var m Meter
	const interval, usual = 5 * time.Millisecond, 55 * time.Millisecond
	now := record(&m, 0, 4000, interval, usual)
	require.InDelta(t, 1, m.Slowdown(now), 0.01)
	now = record(&m, now, 8, interval, usual*5/2)
	require.Greater(t, m.Slowdown(now), 1.8)
	now = record(&m, now, 112, interval, usual*5/2)
	require.InDelta(t, 2.5, m.Slowdown(now), 0.2)
	require.InDelta(t, float64(usual), float64(m.Timing("read", now).Own), float64(usual)/10)
	now = record(&m, now, 16, interval, usual)
	require.Less(t, m.Slowdown(now), 1.25)
}

// Guards against a target that stays slower and is compared with its earlier speed for good.
func TestLastingSlownessBecomesUsual(t *testing.T) {
	var m Meter
	const interval, usual = 5 * time.Millisecond, 55 * time.Millisecond
	now := record(&m, 0, 4000, interval, usual)
	now = record(&m, now, 12000, interval, 2*usual) // one minute
	require.InDelta(t, 1, m.Slowdown(now), 0.05)
	require.InDelta(t, float64(2*usual), float64(m.Timing("read", now).Own), float64(usual)/10)
}

// Guards against a target that counts as slow while it gets no requests, and against long requests of one kind that make short ones of
// another look slow.
func TestKindsAreToldApartAndSlownessFades(t *testing.T) {
	var m Meter
	var now time.Duration
	for range 100 {
		now += 10 * time.Millisecond
		m.Record("short", 10*time.Millisecond, 0, now)
		m.Record("long", 500*time.Millisecond, 200*time.Millisecond, now)
	}
	require.InDelta(t, 1, m.Slowdown(now), 0.01)
	want := message.Timing{Own: 500 * time.Millisecond, Calls: 200 * time.Millisecond, Slowdown: 1}
	got := m.Timing("long", now)
	got.Slowdown = 1
	require.Equal(t, want, got)
	require.Zero(t, m.Timing("unknown", now))
	for range 20 {
		m.Record("short", 40*time.Millisecond, 0, now)
	}
	require.Greater(t, m.Slowdown(now), 2.0)
	require.Less(t, m.Slowdown(now+3*time.Second), 1.1)
}

// Guards against memory that grows with the names of routes, and against figures of a clock that was set back.
func TestBoundedKindsAndOddTimes(t *testing.T) {
	var m Meter
	for i := range 10 * maxKinds {
		m.Record(fmt.Sprint(i), time.Millisecond, 0, 0)
	}
	require.Len(t, m.kinds, maxKinds)
	m.Record("0", -time.Hour, -time.Hour, -time.Second)
	require.True(t, m.Timing("0", 0).Valid())
}
