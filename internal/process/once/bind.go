package once

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/wigeoncleat/wigeoncleat/internal/process/platform"
)

// ErrUnbound reports that a caller-supplied key could not be bound: the platform failed or did not answer in time, too many
// keys were being bound, or the row of the key is malformed. The request was not run. The row may have been written
// nevertheless; a later repeat finds that row or binds the key again.
var ErrUnbound = errors.New("idempotency key not bound")

// Defaults of BinderOptions.
const (
	DefaultGroupWait   = 2 * time.Millisecond
	DefaultGroupSize   = 100
	DefaultInFlight    = 2
	DefaultCallTimeout = 500 * time.Millisecond
	DefaultMaxPending  = 1000
	DefaultCacheSize   = 20_000
)

const (
	rowPrefix = "once/"
	// maxCommitRounds bounds the commits for one group. If a commit fails because rows of the group exist, the next one omits
	// their keys. More than two are needed only if other nodes bind keys of the group at the same time, or if results of commits
	// that had no effect are lost.
	maxCommitRounds = 5
)

// BinderOptions configure a Binder.
type BinderOptions struct {
	GroupWait   time.Duration // how long a key waits for others to share its write; default 2 ms
	GroupSize   int           // maximum number of keys in one write; default 100
	InFlight    int           // maximum number of concurrent writes; keys that arrive meanwhile share the next write; default 2
	CallTimeout time.Duration // time-out of one call to the platform; default 500 ms
	MaxPending  int           // maximum number of keys being bound; others fail with ErrUnbound at once; default 1,000
	CacheSize   int           // maximum number of cached bindings; default 20,000
}

func (o BinderOptions) withDefaults() BinderOptions {
	setDefault(&o.GroupWait, DefaultGroupWait)
	setDefault(&o.GroupSize, DefaultGroupSize)
	setDefault(&o.InFlight, DefaultInFlight)
	setDefault(&o.CallTimeout, DefaultCallTimeout)
	setDefault(&o.MaxPending, DefaultMaxPending)
	setDefault(&o.CacheSize, DefaultCacheSize)
	return o
}

func setDefault[T int | time.Duration](v *T, value T) {
	if *v <= 0 {
		*v = value
	}
}

// Binding names the home node of a key.
type Binding struct {
	Key   Key  // with Home and Incarnation set
	Local bool // this process is the home node
}

// Binder binds caller-supplied keys to home nodes, with one row of the platform's table per key. Rows are never changed or
// removed, so that cached bindings stay valid. The platform can lose rows when it comes back from an older copy; see Run.
type Binder struct {
	store *Store
	table platform.Table
	opts  BinderOptions
	cache [shardCount]cache

	mu       sync.Mutex
	pending  map[string]*pendingKey // keys being bound
	queue    []*pendingKey          // keys that are not in a group yet
	inFlight int                    // groups being bound

	restore restoreState
}

// pendingKey is a key being bound. The fields key and err are set before done is closed.
type pendingKey struct {
	text  string
	row   string         // key of its row in the table
	epoch platform.Epoch // of the platform when its group began
	done  chan struct{}
	key   Key
	err   error
}

// NewBinder returns a binder that binds unbound keys to the store's process.
func NewBinder(store *Store, table platform.Table, opts BinderOptions) *Binder {
	b := &Binder{store: store, table: table, opts: opts.withDefaults(), pending: map[string]*pendingKey{}}
	for i := range b.cache {
		b.cache[i].limit = b.opts.CacheSize / shardCount
	}
	return b
}

// Bind returns the home node of a key. A key that has none is bound to this process. All errors wrap ErrUnbound.
func (b *Binder) Bind(ctx context.Context, key Key) (Binding, error) {
	if key.Bound() {
		return b.result(key), nil
	}
	if known, ok := b.cacheOf(key.Text).get(key.Text); ok {
		return b.result(known), nil
	}
	e, err := b.enqueue(key.Text)
	if err != nil {
		return Binding{}, err
	}
	select {
	case <-e.done:
	case <-ctx.Done():
		return Binding{}, fmt.Errorf("%w: %w", ErrUnbound, ctx.Err())
	}
	if e.err != nil {
		return Binding{}, e.err
	}
	return b.result(e.key), nil
}

func (b *Binder) cacheOf(text string) *cache { return &b.cache[b.store.shardIndex(text)] }

func (b *Binder) result(k Key) Binding { return Binding{Key: k, Local: b.store.Owns(k)} }

// enqueue adds a key to the queue, or returns the pending entry if the key is being bound already.
func (b *Binder) enqueue(text string) (*pendingKey, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e, ok := b.pending[text]; ok {
		return e, nil
	}
	if len(b.pending) >= b.opts.MaxPending {
		return nil, fmt.Errorf("%w: %d keys are waiting for the platform", ErrUnbound, len(b.pending))
	}
	e := &pendingKey{text: text, row: rowKey(text), done: make(chan struct{})}
	b.pending[text] = e
	b.queue = append(b.queue, e)
	switch len(b.queue) {
	case b.opts.GroupSize:
		go b.flush()
	case 1:
		time.AfterFunc(b.opts.GroupWait, b.flush)
	}
	return e, nil
}

// flush binds the queued keys, group by group. If the maximum number of groups is in flight, it leaves the keys to the
// goroutines that bind those groups, so that a slow platform gets fewer and larger writes.
func (b *Binder) flush() {
	for group := b.nextGroup(); len(group) > 0; group = b.nextGroup() {
		b.bind(group)
		b.mu.Lock()
		b.inFlight--
		b.mu.Unlock()
	}
}

// nextGroup removes the next group from the queue. It returns nil if the queue is empty or the maximum number of groups is
// in flight, whose goroutines call nextGroup again.
func (b *Binder) nextGroup() []*pendingKey {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.queue) == 0 || b.inFlight >= b.opts.InFlight {
		return nil
	}
	n := min(len(b.queue), b.opts.GroupSize)
	group := b.queue[:n:n]
	b.queue = b.queue[n:]
	b.inFlight++
	return group
}

// complete publishes the result of a pending key.
func (b *Binder) complete(e *pendingKey, k Key, err error) {
	if now := b.table.Epoch(); err == nil && now != e.epoch && now > firstEpoch {
		err = fmt.Errorf("%w: the platform was restored meanwhile", ErrUnbound)
	}
	e.key, e.err = k, err
	if err == nil {
		b.cacheOf(e.text).put(e.text, k)
		b.restore.record(k)
	}
	b.mu.Lock()
	delete(b.pending, e.text)
	b.mu.Unlock()
	close(e.done)
}

func (b *Binder) fail(group []*pendingKey, cause error) {
	for _, e := range group {
		b.complete(e, Key{}, fmt.Errorf("%w: %w", ErrUnbound, cause))
	}
}

// bind writes the rows of a group. After a conflict, or a commit whose result is unknown, it reads the rows back and
// continues with the keys that have none.
func (b *Binder) bind(group []*pendingKey) {
	epoch, err := b.settledEpoch()
	if err != nil {
		b.fail(group, err)
		return
	}
	for _, e := range group {
		e.epoch = epoch
	}
	for range maxCommitRounds {
		if len(group) == 0 {
			return
		}
		commitID := uuid.NewString()
		var keys []Key
		keys, err = b.commit(group, commitID)
		switch {
		case err == nil:
			for i, e := range group {
				b.complete(e, keys[i], nil)
			}
			return
		case errors.Is(err, platform.ErrConflict), errors.Is(err, platform.ErrInDoubt):
			var readErr error
			if group, readErr = b.readBack(group, commitID, keys); readErr != nil {
				b.fail(group, readErr)
				return
			}
		default:
			b.fail(group, err)
			return
		}
	}
	b.fail(group, err)
}

// row is the value of a key's row.
type row struct {
	CommitID    string `json:"claim"` // identifies the commit that wrote the row
	Home        string `json:"home"`
	Incarnation uint64 `json:"incarnation"`
	IssuedMS    int64  `json:"issued_ms"` // on the home node's monotonic clock
	ValidMS     int64  `json:"valid_ms"`
	Tag         string `json:"tag"`
}

// commit writes the rows of a group. It returns the keys with the bindings that hold if the write takes effect.
func (b *Binder) commit(group []*pendingKey, commitID string) ([]Key, error) {
	keys := make([]Key, len(group))
	writes := make([]platform.Write, len(group))
	for i, e := range group {
		k := b.store.newKey(e.text)
		k.tag = k.sign(b.store.secret[:])
		var err error
		if writes[i], err = bindingRow(k, commitID, platform.Condition{Absent: true}); err != nil {
			return nil, err
		}
		keys[i] = k
	}
	ctx, cancel := context.WithTimeout(context.Background(), b.opts.CallTimeout)
	defer cancel()
	marked, marker := b.restore.marker()
	_, err := b.table.Commit(ctx, append(writes, marker...))
	if err == nil {
		b.restore.settle(marked)
	}
	return keys, err
}

// bindingRow returns the write of a key's row.
func bindingRow(k Key, commitID string, cond platform.Condition) (platform.Write, error) {
	value, err := json.Marshal(row{
		CommitID: commitID, Home: k.Home, Incarnation: k.Incarnation,
		IssuedMS: k.issued.Milliseconds(), ValidMS: k.validity.Milliseconds(), Tag: hex.EncodeToString(k.tag[:]),
	})
	return platform.Write{Key: rowKey(k.Text), Value: value, Cond: cond}, err
}

// rowKey returns the key of a key's row.
func rowKey(text string) string {
	sum := sha256.Sum256([]byte(text))
	return rowPrefix + hex.EncodeToString(sum[:])
}

// readBack completes the keys that have a row and returns the others. After an error, it returns all uncompleted keys.
func (b *Binder) readBack(group []*pendingKey, commitID string, keys []Key) ([]*pendingKey, error) {
	var rest []*pendingKey
	for i, e := range group {
		r, err := b.read(e)
		switch {
		case errors.Is(err, platform.ErrNotFound):
			rest = append(rest, e)
		case err != nil:
			return append(rest, group[i:]...), err
		case r.CommitID == commitID:
			// A commit is atomic, so this row proves that the commit wrote the rows of the other keys too. It may have taken
			// effect only during this loop, after the reads of the keys in rest; the next commit fails because their rows exist,
			// and these are read again.
			for j, e := range group[i:] {
				b.complete(e, keys[i+j], nil)
			}
			return rest, nil
		default:
			k, err := r.key(e.text)
			if err != nil {
				return append(rest, group[i:]...), err
			}
			b.complete(e, k, nil)
		}
	}
	return rest, nil
}

func (b *Binder) read(e *pendingKey) (row, error) {
	ctx, cancel := context.WithTimeout(context.Background(), b.opts.CallTimeout)
	defer cancel()
	var r row
	got, err := b.table.Get(ctx, e.row)
	if err != nil {
		return r, err
	}
	if err := json.Unmarshal(got.Value, &r); err != nil {
		return r, fmt.Errorf("row %s: %w", e.row, err)
	}
	return r, nil
}

// key returns the key that the row binds.
func (r row) key(text string) (Key, error) {
	k := Key{
		Text: text, Home: r.Home, Incarnation: r.Incarnation,
		issued: time.Duration(r.IssuedMS) * time.Millisecond, validity: time.Duration(r.ValidMS) * time.Millisecond,
	}
	t, err := hex.DecodeString(r.Tag)
	if err != nil || len(t) != len(k.tag) || k.Home == "" {
		return Key{}, fmt.Errorf("malformed row of commit %q", r.CommitID)
	}
	copy(k.tag[:], t)
	return k, nil
}

// cache holds the latest bindings of a shard's keys in two generations. A binding that was evicted costs a commit that
// conflicts and a read.
type cache struct {
	limit             int
	mu                sync.RWMutex
	current, previous map[string]Key
}

func (c *cache) get(text string) (Key, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	if k, ok := c.current[text]; ok {
		return k, true
	}
	k, ok := c.previous[text]
	return k, ok
}

func (c *cache) put(text string, k Key) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == nil || len(c.current) >= max(c.limit/2, 1) {
		c.previous, c.current = c.current, map[string]Key{}
	}
	c.current[text] = k
}
