// Package platform is the client interface to the platform's table service and object store. The platform is the service of
// the environment in which the nodes run; it is no part of this system. Nothing outside this package depends on the wire
// format of either, except the stand-in server for tests, package platformserver.
//
// Implementations are safe for concurrent use. Every call returns when its context ends. Callers must pass a context with a
// deadline, because the platform can hang for a long time.
package platform

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Errors that callers distinguish with errors.Is.
var (
	// ErrNotFound reports that the row or object does not exist.
	ErrNotFound = errors.New("not found")
	// ErrConflict reports that the condition of a write was not met. Nothing was written.
	ErrConflict = errors.New("condition does not hold")
	// ErrUnavailable reports that the platform rejected the call or could not be reached. Nothing was written.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrInDoubt reports that a write may or may not have taken effect. The caller must read the row back to find out, as
	// ResolvePut does.
	ErrInDoubt = errors.New("write in doubt")
)

// Version identifies one state of a row. Every write gives the row a new version. The zero value is no version.
type Version struct {
	Epoch Epoch  // of the response that stated the version: in a later epoch, the store gives out the same text again
	Text  string // as the store writes it
}

// String returns the version for messages.
func (v Version) String() string { return fmt.Sprintf("%d/%s", v.Epoch, v.Text) }

// Row is a row of a table.
type Row struct {
	Key     string
	Value   []byte
	Version Version
}

// Condition is the precondition of a write. The zero value always holds.
type Condition struct {
	Absent  bool    // the row must not exist
	Version Version // the row must have this version; ignored if it is zero. One of an earlier epoch never holds.
}

// Write is a conditional write within a transaction.
type Write struct {
	Key   string
	Value []byte
	Cond  Condition
}

// Table is the platform's transactional table service.
type Table interface {
	// Get returns the row, or ErrNotFound.
	Get(ctx context.Context, key string) (Row, error)
	// Put writes one row if the condition holds and returns its new version. It fails with ErrConflict, ErrUnavailable or
	// ErrInDoubt.
	Put(ctx context.Context, key string, value []byte, cond Condition) (Version, error)
	// List returns at most limit rows whose keys start with the prefix, ordered by key.
	List(ctx context.Context, prefix string, limit int) ([]Row, error)
	// Commit applies all writes or none and returns the new versions in the order of the writes. It fails with the same errors
	// as Put.
	Commit(ctx context.Context, writes []Write) ([]Version, error)
	// Epoch returns the newest epoch that a response has stated, also one with an error, or that Observe was told.
	Epoch() Epoch
	// Observe records an epoch that another node has seen.
	Observe(e Epoch)
}

// Objects is the platform's object store. Objects are named by the SHA-256 hash of their content and never change.
type Objects interface {
	// Put stores the body and returns its hash. It is idempotent.
	Put(ctx context.Context, body []byte) (hash string, err error)
	// Get returns the body with the given hash, or ErrNotFound. A body that does not match its hash is an error.
	Get(ctx context.Context, hash string) ([]byte, error)
}

// ErrHistoryUnavailable reports that the changes since a version are no longer available. The caller must read the whole
// table.
var ErrHistoryUnavailable = errors.New("history is no longer available")

// Feed is the change feed of a table.
type Feed interface {
	// Follow waits at most the given time for changes after the given version. Here a version is a state of the whole table:
	// that of a row that was read, or the one that the last call returned. It returns the changed rows in order, without
	// deleted rows, and the version to continue from. It fails with ErrHistoryUnavailable or ErrUnavailable.
	Follow(ctx context.Context, after Version, wait time.Duration) (rows []Row, next Version, err error)
}
