package once

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/wigeoncleat/wigeoncleat/internal/process/platform"
	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
	"github.com/wigeoncleat/wigeoncleat/internal/standin/memory"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = flag.Set("rapid.seed", "20261204")
	}
	os.Exit(m.Run())
}

const addr = "10.0.0.1:7000"

func newStore(t require.TestingT, o Options) *Store {
	if o.Address == "" {
		o.Address = addr
	}
	o.Rand = rand.NewChaCha8([32]byte{byte(o.Incarnation), o.Address[5]})
	s, err := New(o)
	require.NoError(t, err)
	return s
}

func mustParse(t require.TestingT, text string) Key {
	k, err := Parse(text)
	require.NoError(t, err)
	return k
}

func fp(body string) Fingerprint {
	return FingerprintOf(&message.Request{Method: "POST", Path: "/orders", Body: []byte(body)})
}

func answer(body string) *message.Response {
	return &message.Response{Outcome: message.Answered, Status: 200, Body: []byte(body), RetriesLeft: 3}
}

// A corrupted node-issued key must not be accepted as another key, and no key may have two valid texts.
func TestMangledKeysAreRefused(t *testing.T) {
	s := newStore(t, Options{Incarnation: 7})
	text := s.Issue(1)[0]
	k := mustParse(t, text)
	require.Equal(t, []any{addr, uint64(7), true}, []any{k.Home, k.Incarnation, s.Owns(k)})
	for i := len(issuedPrefix); i < len(text); i++ {
		for _, c := range []byte{'A', 'b', '-', '\n', '='} {
			if text[i] != c {
				_, err := Parse(text[:i] + string(c) + text[i+1:])
				require.ErrorIs(t, err, ErrMalformedKey)
			}
		}
		_, err := Parse(text[:i])
		require.ErrorIs(t, err, ErrMalformedKey)
		_, err = Parse(text[:i] + "\r\n" + text[i:])
		require.ErrorIs(t, err, ErrMalformedKey)
	}
	for _, bad := range []string{"", "a b", "ü", string(make([]byte, 300))} {
		_, err := Parse(bad)
		require.ErrorIs(t, err, ErrMalformedKey)
	}
	require.False(t, mustParse(t, "order-17").Bound())
}

// A pause between reading the clock and looking up the key must not let the key run again after its record has expired and
// was removed meanwhile.
func TestPauseInsideBeginDoesNotRunAgain(t *testing.T) {
	var now atomic.Int64
	var pause func()
	s := newStore(t, Options{Clock: func() time.Duration {
		read := time.Duration(now.Load())
		if p := pause; p != nil {
			pause = nil
			p()
		}
		return read
	}})
	k := mustParse(t, s.Issue(1)[0])
	s.Begin(k, fp("a")).Claim.Done(answer("a"))
	swept := make(chan struct{})
	pause = func() {
		now.Store(int64(2 * time.Hour))
		go func() { s.Sweep(); close(swept) }()
		select {
		case <-swept:
		case <-time.After(100 * time.Millisecond):
		}
	}
	require.Equal(t, Recorded, s.Begin(k, fp("a")).Verdict)
	<-swept
	require.Equal(t, 0, s.Len())
	require.Equal(t, Expired, s.Begin(k, fp("a")).Verdict)
}

// A longer validity in the policy must not make a key valid again whose record may have been removed. A key whose record may
// be gone must not be reported as not run.
func TestValidityIsFixedAtIssue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore(t, Options{Validity: time.Minute, RetentionMargin: time.Second})
		keys := s.Issue(2)
		s.Begin(mustParse(t, keys[0]), fp("a")).Claim.Done(answer("a"))
		s.SetValidity(time.Hour)
		time.Sleep(time.Minute)
		require.Equal(t, Recorded, s.Begin(mustParse(t, keys[0]), fp("a")).Verdict)
		unused := s.Begin(mustParse(t, keys[1]), fp("a"))
		require.Equal(t, []any{Expired, message.NotRun}, []any{unused.Verdict, unused.Response.Outcome})
		time.Sleep(time.Second)
		gone := s.Begin(mustParse(t, keys[0]), fp("a"))
		require.Equal(t, []any{Expired, message.Unknown}, []any{gone.Verdict, gone.Response.Outcome})
	})
}

// A full store must refuse new keys, keep the records of valid ones, stay within its limits, and accept new keys again after
// old ones have expired.
func TestMemoryBoundRefusesNewKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore(t, Options{MaxRecords: 50, MaxBytes: 100_000, Validity: time.Minute, RetentionMargin: time.Second})
		keys := s.Issue(60)
		var full int
		for _, text := range keys {
			res := s.Begin(mustParse(t, text), fp("a"))
			if res.Verdict == Full {
				require.Equal(t, message.NotRun, res.Response.Outcome)
				full++
				continue
			}
			res.Claim.Done(answer(string(make([]byte, 1000))))
			require.LessOrEqual(t, s.bytes.Load(), int64(100_000))
		}
		require.GreaterOrEqual(t, full, 10)
		require.Equal(t, Recorded, s.Begin(mustParse(t, keys[0]), fp("a")).Verdict)
		time.Sleep(time.Minute + 2*time.Second)
		for i, text := range s.Issue(50) {
			res := s.Begin(mustParse(t, text), fp("a"))
			require.Equal(t, Run, res.Verdict, "key %d after expiry of the old keys", i)
			if i > 0 {
				res.Claim.NotRun()
				continue
			}
			res.Claim.Done(answer(string(make([]byte, 200_000)))) // larger than MaxBytes
			require.Equal(t, Unknown, s.Begin(mustParse(t, text), fp("a")).Verdict)
		}
		s.Sweep()
		require.Equal(t, 1, s.Len())
		require.Less(t, s.bytes.Load(), int64(1000))
	})
}

// Concurrent copies of a request must run at most once, and every waiting copy must get the response of its own key.
func TestConcurrentCopiesRunOnce(t *testing.T) {
	s := newStore(t, Options{})
	keys := s.Issue(50)
	var runs [50]atomic.Int64
	var wg sync.WaitGroup
	for g := range 8 {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(1, uint64(g)))
			for range 2000 {
				i := rng.IntN(len(keys))
				res := s.Begin(mustParse(t, keys[i]), fp("a"))
				if res.Verdict == Run {
					if rng.IntN(2) == 0 {
						res.Claim.NotRun()
						continue
					}
					runs[i].Add(1)
					res.Claim.Done(answer(keys[i]))
					res.Claim.Unknown(nil)
					continue
				}
				if res.Verdict == Wait {
					res = res.Running.Wait(context.Background())
				}
				if res.Verdict != NotRun && (res.Verdict != Recorded || string(res.Response.Body) != keys[i] || res.Response.RetriesLeft != 0) {
					t.Errorf("verdict %d, body %q", res.Verdict, res.Response.Body)
				}
			}
		})
	}
	wg.Wait()
	for i := range runs {
		require.LessOrEqual(t, runs[i].Load(), int64(1))
	}
}

// model is a model of two nodes that share a platform. It tracks what ran under each key.
type model struct {
	platform *memory.Platform
	stores   [2]*Store
	binders  [2]*Binder
	inc      [2]uint64
	open     map[string]open
	runs     map[string]int // executions that were granted and not released
	recorded map[string]string
	ranBody  map[string]string // request body that ran under the key
	verdicts map[Verdict]int
}

type open struct {
	claim *Claim
	body  string
}

func (m *model) restart(t require.TestingT, n int) {
	m.inc[n]++
	m.stores[n] = newStore(t, Options{Address: fmt.Sprintf("10.0.%d.1:7000", n), Incarnation: m.inc[n], Validity: time.Minute, RetentionMargin: 10 * time.Second})
	m.binders[n] = NewBinder(m.stores[n], m.platform, BinderOptions{CacheSize: 64 * n})
	for key, o := range m.open {
		if o.claim.store.opts.Address == m.stores[n].opts.Address {
			delete(m.open, key) // may have run, so it stays counted in runs
		}
	}
}

// send sends a copy of a request to node n, which routes it to the home node of its key.
func (m *model) send(t require.TestingT, n int, text, body string) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	b, err := m.binders[n].Bind(ctx, mustParse(t, text))
	if err != nil {
		require.ErrorIs(t, err, ErrUnbound)
		return
	}
	for _, s := range m.stores {
		if s.opts.Address == b.Key.Home {
			m.check(t, text, body, s.Begin(b.Key, fp(body)))
		}
	}
}

func (m *model) check(t require.TestingT, text, body string, res Result) {
	m.verdicts[res.Verdict]++
	switch res.Verdict {
	case Run:
		m.runs[text]++
		require.Equal(t, 1, m.runs[text], "key %q runs twice", text)
		m.open[text], m.ranBody[text] = open{res.Claim, body}, body
	case Wait:
		require.Equal(t, body, m.open[text].body)
	case Recorded:
		require.Equal(t, m.recorded[text], string(res.Response.Body))
		require.Equal(t, m.ranBody[text], body)
	case Conflict:
		require.NotEqual(t, m.ranBody[text], body)
	default:
		if res.Response.Outcome == message.NotRun {
			require.Zero(t, m.runs[text], "key %q: false \"not run\"", text)
		}
	}
}

func (m *model) settle(text string, how int) {
	o, ok := m.open[text]
	if !ok {
		return
	}
	delete(m.open, text)
	switch how {
	case 0:
		m.runs[text]--
		o.claim.NotRun()
	case 1:
		m.recorded[text] = fmt.Sprintf("%s of %s", o.body, text)
		o.claim.Done(answer(m.recorded[text]))
	case 2:
		o.claim.Unknown(nil)
	}
}

// A key must not run twice, be falsely reported as not run, or get a wrong recorded response, under any order of repeats,
// other bodies, releases, lost answers of the platform, outages, pauses longer than the validity, and restarts.
func TestNeverTwoExecutions(t *testing.T) {
	verdicts := map[Verdict]int{}
	for seed := range 8 {
		require.NoError(t, flag.Set("rapid.seed", fmt.Sprint(20261204+seed)))
		// rapid calls Deadline on a *testing.T, which panics in a synctest bubble. The wrapper struct is not a *testing.T.
		synctest.Test(t, func(t *testing.T) {
			rapid.Check(struct{ *testing.T }{t}, func(t *rapid.T) { runModel(t, verdicts) })
		})
	}
	t.Log("results by verdict:", verdicts)
	for _, v := range []Verdict{Run, Wait, Recorded, Unknown, Conflict, Expired, Foreign} {
		require.Positive(t, verdicts[v], "verdict %d never occurred", v)
	}
}

func runModel(t *rapid.T, verdicts map[Verdict]int) {
	m := &model{
		platform: memory.New(), open: map[string]open{}, runs: map[string]int{},
		recorded: map[string]string{}, ranBody: map[string]string{}, verdicts: verdicts,
	}
	m.restart(t, 0)
	m.restart(t, 1)
	keys := []string{"order-1", "order-2", "order-3"}
	node, key, body := rapid.IntRange(0, 1), rapid.IntRange(0, 1<<20), rapid.SampledFrom([]string{"a", "a", "a", "b"})
	send := func(t *rapid.T) {
		m.send(t, node.Draw(t, "node"), keys[key.Draw(t, "key")%len(keys)], body.Draw(t, "body"))
	}
	settle := func(t *rapid.T) { m.settle(keys[key.Draw(t, "key")%len(keys)], rapid.IntRange(0, 2).Draw(t, "how")) }
	t.Repeat(map[string]func(*rapid.T){ // every name is equally likely, so that an action with several names is more frequent
		"send": send, "sendAgain": send, "repeat": send, "settle": settle, "settleAgain": settle,
		"issue": func(t *rapid.T) { keys = append(keys, m.stores[node.Draw(t, "node")].Issue(1)...) },
		"pause": func(t *rapid.T) { time.Sleep(time.Duration(rapid.IntRange(1, 75).Draw(t, "s")) * time.Second) },
		"restart": func(t *rapid.T) {
			if rapid.IntRange(0, 3).Draw(t, "rare") == 0 {
				m.restart(t, node.Draw(t, "node"))
			}
		},
		"faults": func(t *rapid.T) {
			m.platform.SetFaults(rapid.SampledFrom([]memory.Faults{{}, {}, {LoseAnswer: true}, {Down: true}, {Hang: true}}).Draw(t, "faults"))
		},
	})
	m.platform.SetFaults(memory.Faults{})
	time.Sleep(time.Minute)
}

// raceTable is a table that counts commits. It calls beforeNextCommit once, ahead of the next commit, to let a test write rows
// as another node.
type raceTable struct {
	*memory.Platform
	beforeNextCommit func()
	commits          atomic.Int64
}

// Commit implements platform.Table.
func (r *raceTable) Commit(ctx context.Context, w []platform.Write) ([]platform.Version, error) {
	r.commits.Add(1)
	if f := r.beforeNextCommit; f != nil {
		r.beforeNextCommit = nil
		f()
	}
	return r.Platform.Commit(ctx, w)
}

// If another node binds one key of a group before this node's commit, that key must keep its home node and the other keys must
// be bound to this node. Keys that arrive together must share a write.
func TestGroupGoesOnAfterConflict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &raceTable{Platform: memory.New()}
		home := newStore(t, Options{Incarnation: 1})
		other := newStore(t, Options{Address: "10.0.9.1:7000", Incarnation: 4})
		table.beforeNextCommit = func() {
			_, err := NewBinder(other, table.Platform, BinderOptions{}).Bind(context.Background(), mustParse(t, "k7"))
			require.NoError(t, err)
		}
		b := NewBinder(home, table, BinderOptions{})
		var wg sync.WaitGroup
		for i := range 40 {
			wg.Go(func() {
				text := fmt.Sprintf("k%d", i/2) // two callers for each key
				got, err := b.Bind(t.Context(), mustParse(t, text))
				require.NoError(t, err)
				require.Equal(t, text != "k7", got.Local)
				if text == "k7" {
					require.Equal(t, []any{"10.0.9.1:7000", uint64(4)}, []any{got.Key.Home, got.Key.Incarnation})
				}
			})
		}
		wg.Wait()
		require.EqualValues(t, 2, table.commits.Load())
	})
}

// A slow platform must get few, large writes, and keys that arrive while writes are in flight must be bound, too.
func TestSlowPlatformGetsFewWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &raceTable{Platform: memory.New()}
		table.SetFaults(memory.Faults{Delay: 50 * time.Millisecond})
		b := NewBinder(newStore(t, Options{}), table, BinderOptions{GroupSize: 40})
		var wg sync.WaitGroup
		for i := range 200 {
			wg.Go(func() {
				got, err := b.Bind(t.Context(), mustParse(t, fmt.Sprintf("k%d", i)))
				require.NoError(t, err)
				require.True(t, got.Local)
			})
			time.Sleep(time.Millisecond)
		}
		wg.Wait()
		require.LessOrEqual(t, table.commits.Load(), int64(10))
		require.Empty(t, b.pending)
	})
}

// A lost answer to a write that took effect must not leave the key unbound or bound elsewhere. An outage must not block
// callers or mark a key as used.
func TestLostAnswerAndOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := memory.New()
		s := newStore(t, Options{Incarnation: 1})
		b := NewBinder(s, table, BinderOptions{})
		table.SetFaults(memory.Faults{LoseAnswer: true})
		got, err := b.Bind(t.Context(), mustParse(t, "k1"))
		require.NoError(t, err)
		require.Equal(t, Run, s.Begin(got.Key, fp("a")).Verdict)
		for _, f := range []memory.Faults{{Down: true}, {Hang: true}} {
			table.SetFaults(f)
			start := time.Now()
			_, err = b.Bind(t.Context(), mustParse(t, "k2"))
			require.ErrorIs(t, err, ErrUnbound)
			require.Less(t, time.Since(start), 2*time.Second)
			known, err := b.Bind(t.Context(), mustParse(t, "k1"))
			require.NoError(t, err)
			require.True(t, known.Local)
		}
		table.SetFaults(memory.Faults{})
		got, err = b.Bind(t.Context(), mustParse(t, "k2"))
		require.NoError(t, err)
		require.True(t, got.Local)
	})
}

// A process must not run the keys of an earlier process at its address, even if that had the same incarnation.
func TestKeysOfDeadProcessNeverRun(t *testing.T) {
	old := newStore(t, Options{Incarnation: 3})
	k := mustParse(t, old.Issue(1)[0])
	for _, inc := range []uint64{2, 3, 4} {
		s := newStore(t, Options{Incarnation: inc})
		s.secret[0]++ // the secrets of two processes differ
		res := s.Begin(k, fp("a"))
		require.Equal(t, []any{Foreign, message.Unknown}, []any{res.Verdict, res.Response.Outcome})
	}
}

// BenchmarkBeginDone measures the cost of a key per request.
func BenchmarkBeginDone(b *testing.B) {
	s := newStore(b, Options{MaxRecords: 1 << 30, MaxBytes: 1 << 40})
	body := answer("a small response")
	f := fp("a")
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		var keys []string
		for pb.Next() {
			if len(keys) == 0 {
				keys = s.Issue(MaxIssue)
			}
			k, err := Parse(keys[0])
			if err != nil {
				b.Error(err)
			}
			keys = keys[1:]
			s.Begin(k, f).Claim.Done(body)
		}
	})
}
