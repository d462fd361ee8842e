// Package once makes sure that a request with an idempotency key is executed at most once. A Store holds the keys whose
// home node this process is, in memory. A Binder binds caller-supplied keys to a home node by conditional writes to the
// platform's table.
//
// All types are safe for concurrent use. Keys are spread over shards with a lock each; no lock is shared by all requests,
// and no lock is held during a call to the platform.
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

// MaxIssue is the largest number of keys that one call of Issue returns.
const MaxIssue = 256

const (
	shardCount = 64
	secretSize = 32
	// recordOverhead estimates the memory of a record without its key and response, in bytes.
	recordOverhead = 400
	// New keys are refused above this share of MaxBytes. The rest is for the responses of keys that already run.
	newKeyNum, newKeyDen = 3, 4
	// sweepPerBegin bounds the expired records that one call of Begin removes.
	sweepPerBegin = 4
	// sweepEvery bounds how often a full store looks for expired records in every shard.
	sweepInterval = 100 * time.Millisecond
)

// Options configure a Store.
type Options struct {
	Address     string // peer address of this node; required
	Incarnation uint64 // of this process; it must be fixed for the life of the process

	Validity        time.Duration // how long an issued or newly bound key may be run; default 10 min
	RetentionMargin time.Duration // how long records are kept beyond that; default 1 min
	MaxRecords      int           // keys with a record; default 100,000
	MaxBytes        int64         // estimated memory of records and recorded responses; default 64 MiB

	// Clock returns the time since a fixed moment. It must be monotonic; default: Go's monotonic clock. The wall clock is
	// never used: a step of it would make expired keys valid again.
	Clock func() time.Duration
	// Rand is the source of the secret that makes keys unguessable; default: crypto/rand.
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

// Store holds the keys whose home node this process is.
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

// New returns an empty store. It fails only if the source of random bytes fails.
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

// SetValidity changes the validity of keys that are issued or bound from now on.
func (s *Store) SetValidity(d time.Duration) { s.validity.Store(int64(d)) }

// Validity returns the validity of keys that are issued now.
func (s *Store) Validity() time.Duration { return time.Duration(s.validity.Load()) }

// Len returns the number of records.
func (s *Store) Len() int { return int(s.count.Load()) }

// Issue returns n new keys whose home node is this process, at most MaxIssue. They take no memory until they are used.
func (s *Store) Issue(n int) []string {
	n = min(max(n, 0), MaxIssue)
	keys := make([]string, n)
	for i := range keys {
		k := s.newKey(issuedPrefix)
		k.counter = s.counter.Add(1)
		k.tag = k.sign(s.secret[:])
		keys[i] = k.encode()
	}
	return keys
}

// newKey returns a key without tag that this process is the home node of, issued now.
func (s *Store) newKey(text string) Key {
	return Key{
		Text: text, Home: s.opts.Address, Incarnation: s.opts.Incarnation,
		// The text of a key has milliseconds.
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

// Verdict says what to do with a request that has a key.
type Verdict uint8

// Verdicts of Begin and Wait.
const (
	Run      Verdict = iota + 1 // run the request now and settle the claim
	Wait                        // another copy of the request is running: wait for it
	Recorded                    // the request was executed; its response is recorded
	Unknown                     // the request may have been executed
	NotRun                      // the running copy ended without being run
	Conflict                    // the key was used with another request
	Expired                     // the key can no longer be run
	Foreign                     // this process is not the key's home node; after a restart, its keys are never run again
	Full                        // no memory for another key
)

// Result is the answer of Begin and Wait.
type Result struct {
	Verdict Verdict
	Claim   *Claim   // for Run
	Running *Running // for Wait
	// Response is the response to give to the caller for every verdict but Run and Wait. It belongs to the caller of
	// Begin, except for its body, which is shared and must not be changed.
	Response *message.Response
}

// Begin decides about a request with a key. The claim of the verdict Run must be settled; to be sure of it, defer
// Claim.Unknown(nil), which does nothing after the claim was settled.
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

// Lookup answers a repeat of a request whose key has a record here. It takes no claim and needs no binding, because only
// keys whose home node is this process have records. It reports false for other keys and for another request.
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
	// The clock is read under the lock under which records are removed. Were it read before, a pause between the two could
	// let a record expire and be removed while the key still counts as valid, and the key would run again.
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

// checkAge reports whether a key without a record may be run.
func (s *Store) checkExpiry(key Key, now time.Duration) (Result, bool) {
	switch expiry := key.expiry(); {
	case now < key.issued:
		return Result{
			Verdict: Expired, Response: unknownOutcome(message.ReasonKeyExpired, "the key was issued in the future"),
		}, false
	case now < expiry:
		return Result{}, true
	case now < expiry+s.opts.RetentionMargin:
		// A record would still be there, so the key was never executed.
		return Result{Verdict: Expired, Response: refuse(message.ReasonKeyExpired, "the key expired unused")}, false
	default:
		return Result{
			Verdict: Expired, Response: unknownOutcome(message.ReasonKeyExpired, "the key and its record expired"),
		}, false
	}
}

// reserve takes memory for a new record and reports whether there was any.
func (s *Store) reserve(size int64) bool {
	count, used := s.count.Add(1), s.bytes.Add(size)
	if count <= int64(s.opts.MaxRecords) && used <= s.opts.MaxBytes/newKeyDen*newKeyNum {
		return true
	}
	s.release(1, size)
	return false
}

// Sweep removes the expired records of all shards. Begin does so by itself when memory runs out.
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

// Claim is the right to execute a request once. Exactly one call settles it; later calls have no effect.
type Claim struct {
	store *Store
	shard *shard
	rec   *record
}

// NotRun returns the key to free. It must be called only if the request provably was not executed and cannot be executed
// later under this claim.
func (c *Claim) NotRun() { c.Refuse(nil) }

// Refuse is NotRun with the response to give to the copies of the request that wait for this one.
func (c *Claim) Refuse(resp *message.Response) {
	if resp == nil || resp.Outcome != message.NotRun {
		resp = refuse(message.ReasonOverload, "the running copy of the request was not run")
	}
	c.settle(released, resp)
}

// Done records the response. A response that is not a target's answer is recorded as Unknown does.
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

// account adds the memory of a recorded response. A response that does not fit is not kept: later repeats get "unknown".
func (s *Store) accountResponse(r *record) {
	size := responseSize(r.resp)
	if s.bytes.Add(size) > s.opts.MaxBytes {
		s.bytes.Add(-size)
		r.state, r.resp = unknown, unknownOutcome(message.ReasonOverload, "no memory for the recorded response")
		return
	}
	r.size += size
}

// Running is a copy of a request that another caller runs.
type Running struct{ rec *record }

// Wait waits for the running copy. Its verdict is Recorded, Unknown, NotRun, or Wait if ctx ended first. After NotRun the
// waiting copy must not be run either: the caller may have been told "not run" by the first copy already.
func (w *Running) Wait(ctx context.Context) Result {
	select {
	case <-w.rec.settled:
		// The record no longer changes.
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
	return message.Doubt(reason, message.Errorf(message.StepKey, "", format, args...))
}

// kept returns the part of a response that is recorded. Retries, thresholds and load describe the moment of the first
// response and would mislead later.
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
