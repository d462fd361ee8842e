// Package once executes a request with an idempotency key at most once. Each key has a home node, which decides whether a
// request with the key may run. A Store holds, in memory, the records of the keys whose home node is this process. A Binder
// binds caller-supplied keys to a home node by conditional writes to a table of the platform, an external service (see package
// platform).
//
// All types are safe for concurrent use. Keys are distributed over shards, each with its own lock. No lock of the Store is
// shared between all requests, and no lock is held during a call to the platform.
package once

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"hash/maphash"
	"io"
	"slices"
	"sync/atomic"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/process/invariant"
	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
)

// Defaults of Options.
const (
	DefaultValidity        = 10 * time.Minute
	DefaultRetentionMargin = time.Minute
	DefaultMaxRecords      = 100_000
	DefaultMaxBytes        = 64 << 20
)

// MaxIssue is the maximum number of keys that one call of Issue returns.
const MaxIssue = 256

const (
	shardCount = 64
	secretSize = 32
	// recordOverhead is the estimated memory of a record without its key and response, in bytes.
	recordOverhead = 400
	// New keys are refused above this fraction of MaxBytes. The rest is reserved for the responses of keys that are already
	// running.
	newKeyNum, newKeyDen = 3, 4
	// sweepPerBegin is the maximum number of expired records that one call of Begin removes from the shard of its key.
	sweepPerBegin = 4
	// sweepInterval is the minimum time between two sweeps of all shards when the store is full.
	sweepInterval = 100 * time.Millisecond
)

// Options configure a Store.
type Options struct {
	Address     string // peer address of this node; required
	Incarnation uint64 // of this process; must not change during its life

	Validity        time.Duration // time for which an issued or newly bound key may be run; default 10 min
	RetentionMargin time.Duration // time for which records are kept after that; default 1 min
	MaxRecords      int           // maximum number of records; default 100,000
	MaxBytes        int64         // maximum estimated memory of records and their responses; default 64 MiB

	// Clock returns the time since a fixed moment. It must be monotonic; the default is Go's monotonic clock. The wall clock
	// is never used, because setting it back would make expired keys valid again.
	Clock func() time.Duration
	// Rand is the source of the secret that makes keys unguessable; the default is crypto/rand.
	Rand io.Reader
}

func (o Options) withDefaults() Options {
	if o.Validity <= 0 {
		o.Validity = DefaultValidity
	}
	if o.RetentionMargin <= 0 {
		o.RetentionMargin = DefaultRetentionMargin
	}
	if o.MaxRecords <= 0 {
		o.MaxRecords = DefaultMaxRecords
	}
	if o.MaxBytes <= 0 {
		o.MaxBytes = DefaultMaxBytes
	}
	if o.Clock == nil {
		start := time.Now()
		o.Clock = func() time.Duration { return time.Since(start) }
	}
	if o.Rand == nil {
		o.Rand = rand.Reader
	}
	return o
}

// Store holds the records of the keys whose home node is this process.
type Store struct {
	opts      Options
	secret    [secretSize]byte
	seed      maphash.Seed
	validity  atomic.Int64
	counter   atomic.Uint64
	count     atomic.Int64
	bytes     atomic.Int64
	lastSweep atomic.Int64 // time of the last sweep of all shards
	shards    [shardCount]shard
}

// New returns an empty store. It fails only if opts.Rand fails.
func New(opts Options) (*Store, error) {
	s := &Store{opts: opts.withDefaults(), seed: maphash.MakeSeed()}
	if _, err := io.ReadFull(s.opts.Rand, s.secret[:]); err != nil {
		return nil, err
	}
	s.validity.Store(int64(s.opts.Validity))
	s.lastSweep.Store(-int64(sweepInterval))
	for i := range s.shards {
		s.shards[i].records = map[string]*record{}
	}
	return s, nil
}

// SetValidity sets the validity of keys that are issued or bound from now on.
func (s *Store) SetValidity(d time.Duration) { s.validity.Store(int64(d)) }

// Validity returns the validity of keys that are issued now.
func (s *Store) Validity() time.Duration { return time.Duration(s.validity.Load()) }

// Len returns the number of records.
func (s *Store) Len() int { return int(s.count.Load()) }

// Issue returns min(n, MaxIssue) new keys whose home node is this process. They take no memory in the store until they are
// used.
func (s *Store) Issue(n int) []string {
	n = min(max(n, 0), MaxIssue)
	keys := make([]string, n)
	for i := range keys {
		k := s.newKey(issuedPrefix) // the prefix tells sign that the key is node-issued; encode returns the whole text
		k.counter = s.counter.Add(1)
		k.tag = k.sign(s.secret[:])
		keys[i] = k.encode()
	}
	return keys
}

// newKey returns a key without a tag that is issued now and whose home node is this process. The text of a node-issued key is
// not known yet; only its prefix is passed.
func (s *Store) newKey(text string) Key {
	return Key{
		Text: text, Home: s.opts.Address, Incarnation: s.opts.Incarnation,
		// The encoded key has a resolution of milliseconds.
		issued:   s.opts.Clock().Truncate(time.Millisecond),
		validity: s.Validity().Truncate(time.Millisecond),
	}
}

// Owns reports whether this process is the home node of the key.
func (s *Store) Owns(k Key) bool {
	if k.Home != s.opts.Address || k.Incarnation != s.opts.Incarnation {
		return false
	}
	want := k.sign(s.secret[:])
	return hmac.Equal(want[:], k.tag[:])
}

// Verdict is the decision about a request that has a key.
type Verdict uint8

// Verdicts of Begin and Wait.
const (
	Run      Verdict = iota + 1 // run the request now and settle the claim (see Claim)
	Wait                        // another copy of the request is running: wait for it
	Recorded                    // the request was executed; its response is recorded
	Unknown                     // the request may have been executed
	NotRun                      // the copy that was waited for ended, and the request was provably not executed
	Conflict                    // the key was used with another request
	Expired                     // the key can no longer be run
	Foreign                     // this process is not the key's home node; keys from before its restart are never run
	Full                        // no memory for another key
)

// Result is the result of Begin, Lookup and Wait.
type Result struct {
	Verdict Verdict
	Claim   *Claim   // for Run
	Running *Running // for Wait
	// Response is the response for the request's caller. It is nil with the verdict Run, and with the verdict Wait of Begin or
	// Lookup, after which Running.Wait returns it. It may be modified, except for its Body and Err, which are shared with other
	// responses.
	Response *message.Response
}

// Begin decides whether a request with a key may run. With the verdict Run, the caller must settle the claim; a deferred
// Claim.Unknown(nil) ensures this and has no effect on a claim that was settled before.
func (s *Store) Begin(key Key, fp Fingerprint) Result {
	if !s.Owns(key) {
		return Result{Verdict: Foreign, Response: unknownOutcome(message.ReasonKeyExpired, "the key belongs to %s, incarnation %d",
			key.Home, key.Incarnation)}
	}
	res := s.begin(key, fp)
	if res.Verdict == Full && s.sweepDue() {
		s.Sweep()
		res = s.begin(key, fp)
	}
	return res
}

// Lookup returns the result for a repeat of a request whose key has a record in this store. It makes no claim, and needs no
// binding because only keys whose home node is this process have records. It returns false if the key has no record or was
// used with another request.
func (s *Store) Lookup(req *message.Request) (Result, bool) {
	sh := s.shard(req.Key)
	sh.mu.Lock()
	r, ok := sh.records[req.Key]
	sh.mu.Unlock()
	if !ok {
		return Result{}, false
	}
	fp := FingerprintOf(req)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	res := r.repeat(fp)
	return res, res.Verdict != Conflict
}

func (s *Store) begin(key Key, fp Fingerprint) Result {
	sh := s.shard(key.Text)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	// The clock must be read while the shard is locked, because records are removed under the same lock. If it were read
	// earlier, a pause before the lock could let the record expire and be removed while the key still counts as valid, and the
	// key would run again.
	now := s.opts.Clock()
	s.release(sh.sweep(now, sweepPerBegin))
	if r, ok := sh.records[key.Text]; ok {
		return r.repeat(fp)
	}
	if res, ok := s.checkExpiry(key, now); !ok {
		return res
	}
	r := &record{
		text: key.Text, fp: fp, state: running, settled: make(chan struct{}),
		removeAt: key.expiry() + s.opts.RetentionMargin, size: recordOverhead + int64(len(key.Text)),
	}
	if !s.reserve(r.size) {
		return Result{Verdict: Full, Response: refuse(message.ReasonOverload, "no memory for another idempotency key")}
	}
	sh.records[key.Text] = r
	invariant.Check(invariant.SingleExecution, now < key.expiry(), "key %q was granted at %s, after its expiry", key.Text, now)
	return Result{Verdict: Run, Claim: &Claim{store: s, shard: sh, rec: r}}
}

// checkExpiry reports whether a key without a record may be run, and returns the result if not.
func (s *Store) checkExpiry(key Key, now time.Duration) (Result, bool) {
	switch expiry := key.expiry(); {
	case now < key.issued:
		// Begin has verified that this process issued the key, so Options.Clock was not monotonic. Whether the key ran is unknown.
		return Result{
			Verdict: Expired, Response: unknownOutcome(message.ReasonKeyExpired, "the key was issued in the future"),
		}, false
	case now < expiry:
		return Result{}, true
	case now < expiry+s.opts.RetentionMargin:
		// If the key had been used, its record would still exist, so it was never run.
		return Result{Verdict: Expired, Response: refuse(message.ReasonKeyExpired, "the key expired unused")}, false
	default:
		return Result{
			Verdict: Expired, Response: unknownOutcome(message.ReasonKeyExpired, "the key and its record expired"),
		}, false
	}
}

// reserve accounts for the memory of a new record and reports whether it is within the limits.
func (s *Store) reserve(size int64) bool {
	count, used := s.count.Add(1), s.bytes.Add(size)
	if count <= int64(s.opts.MaxRecords) && used <= s.opts.MaxBytes/newKeyDen*newKeyNum {
		return true
	}
	s.release(1, size)
	return false
}

// Sweep removes the expired records of all shards. Begin calls it when the store is full.
func (s *Store) Sweep() {
	for i := range s.shards {
		sh := &s.shards[i]
		sh.mu.Lock()
		s.release(sh.sweep(s.opts.Clock(), len(sh.records)))
		sh.mu.Unlock()
	}
}

func (s *Store) sweepDue() bool {
	now, last := int64(s.opts.Clock()), s.lastSweep.Load()
	return now-last >= int64(sweepInterval) && s.lastSweep.CompareAndSwap(last, now)
}

func (s *Store) release(count int, size int64) {
	if count > 0 {
		s.count.Add(-int64(count))
		s.bytes.Add(-size)
	}
}

func (s *Store) shard(text string) *shard { return &s.shards[s.shardIndex(text)] }

func (s *Store) shardIndex(text string) uint64 { return maphash.String(s.seed, text) % shardCount }

// Claim is the right to execute a request once. The first call of NotRun, Refuse, Done or Unknown settles it; later calls
// have no effect.
type Claim struct {
	store *Store
	shard *shard
	rec   *record
}

// NotRun releases the key, so that it may run again. It must be called only if the request provably was not executed and
// cannot be executed later under this claim.
func (c *Claim) NotRun() { c.Refuse(nil) }

// Refuse is like NotRun, with a response for the copies of the request that wait for this one.
func (c *Claim) Refuse(resp *message.Response) {
	if resp == nil || resp.Outcome != message.NotRun {
		resp = refuse(message.ReasonOverload, "the running copy of the request was not run")
	}
	c.settle(released, resp)
}

// Done records the response. If its outcome is not Answered, Done acts like Unknown.
func (c *Claim) Done(resp *message.Response) {
	if resp == nil || resp.Outcome != message.Answered {
		c.Unknown(resp)
		return
	}
	if !c.settle(done, resp) {
		c.shard.mu.Lock()
		defer c.shard.mu.Unlock()
		invariant.Check(invariant.NotRunTruthful, c.rec.state != released, "key %q was answered after it was released", c.rec.text)
	}
}

// Unknown records that the request may have been executed. The response may be nil.
func (c *Claim) Unknown(resp *message.Response) {
	if resp == nil || resp.Outcome != message.Unknown {
		resp = unknownOutcome(message.ReasonInternal, "the result of the execution is unknown")
	}
	c.settle(unknown, resp)
}

func (c *Claim) settle(to state, resp *message.Response) bool {
	r, sh := c.rec, c.shard
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if r.state != running {
		return false
	}
	invariant.Check(invariant.SingleExecution, sh.records[r.text] == r, "key %q lost its record while it ran", r.text)
	r.state, r.resp = to, recordedCopy(resp)
	if to == released {
		delete(sh.records, r.text)
		c.store.release(1, r.size)
	} else {
		c.store.accountResponse(r)
		sh.add(r)
	}
	close(r.settled)
	return true
}

// accountResponse accounts for the memory of a recorded response. A response that exceeds the limit is dropped, and later
// repeats get the verdict Unknown.
func (s *Store) accountResponse(r *record) {
	size := responseSize(r.resp)
	if s.bytes.Add(size) > s.opts.MaxBytes {
		s.bytes.Add(-size)
		r.state, r.resp = unknown, unknownOutcome(message.ReasonOverload, "no memory for the recorded response")
		return
	}
	r.size += size
}

// Running is a handle of a copy of the request that is running under another call of Begin.
type Running struct{ rec *record }

// Wait waits for the running copy. Its verdict is Recorded, Unknown, NotRun, or Wait if ctx ended first. After NotRun the
// waiting copy must not be run either, because the caller may already have been told by the first copy that the request was
// not run.
func (w *Running) Wait(ctx context.Context) Result {
	select {
	case <-w.rec.settled:
		// A settled record no longer changes, so no lock is needed.
		return w.rec.result()
	case <-ctx.Done():
		return Result{
			Verdict: Wait, Running: w, Response: unknownOutcome(message.ReasonDeadline, "the running copy did not end in time"),
		}
	}
}

func refuse(reason message.Reason, format string, args ...any) *message.Response {
	return message.Refuse(reason, message.Errorf(message.StepKey, "", format, args...))
}

func unknownOutcome(reason message.Reason, format string, args ...any) *message.Response {
	return message.UnknownOutcome(reason, message.Errorf(message.StepKey, "", format, args...))
}

// recordedCopy copies the part of a response that is recorded. Retries, thresholds and load describe the state at the time
// of the first response and would be misleading later.
func recordedCopy(r *message.Response) *message.Response {
	return &message.Response{
		Outcome: r.Outcome, Status: r.Status, Header: r.Header.Clone(), Body: slices.Clip(r.Body),
		Err: r.Err, Reason: r.Reason, RetryAfter: r.RetryAfter,
	}
}

func responseSize(r *message.Response) int64 {
	size := len(r.Body)
	for name, values := range r.Header {
		size += len(name)
		for _, v := range values {
			size += len(v)
		}
	}
	return int64(size)
}
