// Package platform is the narrow interface to the platform's table service and object store. Nothing outside this
// package depends on the wire format of either.
//
// Implementations are safe for concurrent use. Every call ends when its context ends, and callers must pass a context
// with a deadline, because the platform can hang for a long time.
package platform

import (
	"context"
	"errors"
	"time"
)

// Errors that callers distinguish with errors.Is.
var (
	// ErrNotFound reports that there is no such row or object.
	ErrNotFound = errors.New("not found")
	// ErrConflict reports that a condition did not hold. Nothing was written.
	ErrConflict = errors.New("condition does not hold")
	// ErrUnavailable reports that the platform refused the call or was not reached. Nothing was written.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrInDoubt reports that a write may or may not have taken effect. Read the row back to find out.
	ErrInDoubt = errors.New("write in doubt")
)

// Version identifies one state of a row. A row gets another version with every write.
type Version string

// Row is a row of the table.
type Row struct {
	Key     string
	Value   []byte
	Version Version
}

// Condition says when a write applies.
type Condition struct {
	Absent  bool    // only if there is no such row
	Version Version // only if the row has this version; empty: always
}

// Write is one write of a transaction.
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
	// List returns at most limit rows whose key starts with the prefix, in the order of their keys.
	List(ctx context.Context, prefix string, limit int) ([]Row, error)
	// Commit applies all writes or none, and fails as Put does.
	Commit(ctx context.Context, writes []Write) ([]Version, error)
}

// Objects is the platform's object store. Objects are named by the SHA-256 hash of their content and never change.
type Objects interface {
	// Put stores the body and returns its hash. Storing the same body again has no effect.
	Put(ctx context.Context, body []byte) (hash string, err error)
	// Get returns the body with the given hash, or ErrNotFound. A body that does not match its hash is an error.
	Get(ctx context.Context, hash string) ([]byte, error)
}

// ErrHistoryUnavailable reports that the changes since a version are no longer known. Read the table as a whole.
var ErrHistoryUnavailable = errors.New("history is no longer available")

// Feed reports changes of a table as they happen.
type Feed interface {
	// Follow waits for changes after the given version, for at most the given time. It returns the changed rows in order,
	// without those that were deleted, and the version to continue from. It fails with ErrHistoryUnavailable or ErrUnavailable.
	Follow(ctx context.Context, after Version, wait time.Duration) (rows []Row, next Version, err error)
}
