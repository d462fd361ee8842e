package audit

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"github.com/wigeoncleat/wigeoncleat/internal/process/platform"
	"github.com/wigeoncleat/wigeoncleat/internal/standin/memory"
	"github.com/wigeoncleat/wigeoncleat/internal/version/rollout"
)

func discardLogger() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

// Guards against entries that are lost, written twice or listed in the wrong order while the platform is down or its responses
// are lost, and against dropped entries that are not counted in the trail.
func TestEachEntryWrittenOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx := context.Background()
		pf := memory.New()
		limit := rapid.IntRange(1, 60).Draw(t, "buffer")
		trail := New(pf, "n1", limit, discardLogger())
		start := time.Unix(1000, 0)
		added, flushes := 0, 0
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			pf.SetFaults(memory.Faults{Down: rapid.Bool().Draw(t, "down"), LoseAnswer: rapid.Bool().Draw(t, "lose")})
			for range rapid.IntRange(0, 40).Draw(t, "entries") {
				added++
				trail.Add(Entry{Kind: KindDrain, Subject: fmt.Sprint(added), Time: start.Add(time.Duration(added) * time.Second)})
			}
			require.LessOrEqual(t, trail.Stats().Buffered, limit)
			if trail.Flush(ctx) == nil {
				flushes++
			}
		}
		pf.SetFaults(memory.Faults{})
		require.NoError(t, trail.Flush(ctx))
		entries, err := trail.List(ctx, 10000)
		require.NoError(t, err)
		seen, counted := map[string]bool{}, 0
		last := added + 1
		for _, e := range entries {
			if e.Kind == KindDropped {
				counted += e.Count
				continue
			}
			var n int
			_, err := fmt.Sscan(e.Subject, &n)
			require.NoError(t, err)
			require.Less(t, n, last, "newest first, each once")
			last = n
			seen[e.Subject] = true
		}
		require.Equal(t, added, len(seen)+counted)
		require.Equal(t, counted, trail.Stats().Dropped)
		require.Equal(t, len(entries), trail.Stats().Written)
		limited, err := trail.List(ctx, 1)
		require.NoError(t, err)
		require.LessOrEqual(t, len(limited), 1)
	})
}

// Guards against an audit trail that cannot be read any more because another program has left an odd row in it.
func TestOddRowDoesNotHideTheTrail(t *testing.T) {
	pf := memory.New()
	trail := New(pf, "n1", 10, discardLogger())
	trail.Add(Entry{Kind: KindDrain, Subject: "1", Time: time.Unix(1000, 0)})
	require.NoError(t, trail.Flush(t.Context()))
	for _, value := range []string{"", "\xff", strings.Repeat("\x81", 60<<10), "\xc2\x58\x20" + strings.Repeat("\xff", 32)} {
		_, err := pf.Put(t.Context(), keyPrefix+"odd", []byte(value), platform.Condition{})
		require.NoError(t, err)
		entries, err := trail.List(t.Context(), 10)
		require.NoError(t, err)
		require.Len(t, entries, 2)
		require.Equal(t, "1", entries[0].Subject)
		require.Equal(t, OutcomeUnreadable, entries[1].Outcome)
	}
}

// Guards against an entry of a change without its author, its files or the reason why it was refused.
func TestChangeEntry(t *testing.T) {
	pf := memory.New()
	w, err := Row(ChangeEntry("n1", time.Unix(5, 0), rollout.Result{
		ID: "b", State: rollout.StateRefused, Reason: rollout.ReasonBaseChanged, Base: 3, Author: "ben", Changed: []string{"base.ini"},
		Other: &rollout.VersionInfo{ID: "a", Author: "ann"},
	}))
	require.NoError(t, err)
	_, err = pf.Put(context.Background(), w.Key, w.Value, w.Cond)
	require.NoError(t, err)
	entries, err := New(pf, "n2", 0, discardLogger()).List(context.Background(), 5)
	require.NoError(t, err)
	require.Equal(t, []Entry{{
		ID: "b", Time: time.Unix(5, 0), Nanos: time.Unix(5, 0).UnixNano(), Kind: KindChange, Node: "n1", Actor: "ben", Subject: "b",
		Base: 3, Differs: []string{"base.ini"}, Outcome: "refused", Reason: "base-changed: change a by ann",
	}}, entries)
}

// Guards against a graceful stop that does not write the buffered entries, and against goroutines that outlive it.
func TestRunWritesTheRest(t *testing.T) {
	defer goleak.VerifyNone(t)
	pf := memory.New()
	trail := New(pf, "n1", 0, discardLogger())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { trail.Run(ctx); close(done) }()
	trail.Add(Entry{Kind: KindChange, Actor: "ann", Subject: "c1", Base: 1, Version: 2, Differs: []string{"base.ini"}, Outcome: "accepted"})
	cancel()
	<-done
	entries, err := trail.List(context.Background(), 10)
	require.NoError(t, err)
	require.Len(t, entries, 1)
	require.Equal(t, "ann", entries[0].Actor)
	require.WithinDuration(t, time.Now(), entries[0].Time, time.Minute)
}

// Guards against entries that are missing from the trail because the platform came back from an older copy, and against entries
// that are written twice because the copy still has them.
func TestEntriesThatThePlatformLostAreWrittenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, pf := t.Context(), memory.New()
		trail := New(pf, "n1", 0, discardLogger())
		subjects := func() (out []string) {
			entries, err := trail.List(ctx, 100)
			require.NoError(t, err)
			for _, e := range entries {
				out = append(out, e.Subject)
			}
			return out
		}
		for _, subject := range []string{"1", "2", "3"} {
			trail.Add(Entry{Kind: KindDrain, Subject: subject})
			require.NoError(t, trail.Flush(ctx))
			time.Sleep(time.Second)
		}
		pf.Restore(1500 * time.Millisecond)
		require.Equal(t, []string{"2", "1"}, subjects())
		require.NoError(t, trail.Flush(ctx))
		require.Equal(t, []string{"3", "2", "1"}, subjects())
		require.Equal(t, 3, trail.Stats().Written)
	})
}
