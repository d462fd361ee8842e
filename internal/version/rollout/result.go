package rollout

import (
	"errors"
	"fmt"

	"github.com/wigeoncleat/wigeoncleat/internal/process/platform"
)

// State is the state of a change.
type State string

// States of a change. Accepted and refused are definite.
const (
	StateAccepted State = "accepted"
	StateRefused  State = "refused"
	StatePending  State = "pending" // proposed, result not known yet
	StateUnknown  State = "unknown" // the platform did not answer
)

// Reason says why a change was refused or is not settled.
type Reason string

// Reasons of a result that is not accepted.
const (
	ReasonBaseChanged        Reason = "base-changed"         // another version was accepted first
	ReasonOtherChangePending Reason = "other-change-pending" // another change is being decided
	ReasonRejected           Reason = "check-failed"         // nodes rejected the body
	ReasonUnreached          Reason = "nodes-unreached"      // too many nodes did not acknowledge
	// ReasonNeverProposed: status found no row of the change. It wrote this result, so that the ID cannot be proposed later.
	ReasonNeverProposed Reason = "never-proposed"
	ReasonUnavailable   Reason = "platform-unavailable"
	ReasonIDReused      Reason = "id-reused" // the ID belongs to a change with another body
)

// Change is what an operator submits.
type Change struct {
	ID   string `json:"id"` // unique; a resumed submit has the same ID
	Base uint64 `json:"base"`
	// BaseHash is the hash of the body that the base version had when it was read; empty: not compared. After the platform and
	// all nodes have lost a version, its number is given to another one.
	BaseHash string `json:"base_hash,omitempty"`
	Author   string `json:"author"`
	Comment  string `json:"comment"`
	Body     []byte `json:"-"` // an encoded Bundle
}

// Result is the outcome of a change, as far as it is known.
type Result struct {
	ID      string   `cbor:"1,keyasint" json:"id"`
	State   State    `cbor:"2,keyasint" json:"state"`
	Reason  Reason   `cbor:"3,keyasint,omitempty" json:"reason,omitempty"`
	Base    uint64   `cbor:"4,keyasint" json:"base"`
	Version uint64   `cbor:"5,keyasint,omitempty" json:"version,omitempty"` // the accepted version
	Hash    string   `cbor:"6,keyasint,omitempty" json:"hash,omitempty"`
	Author  string   `cbor:"7,keyasint,omitempty" json:"author,omitempty"`
	Comment string   `cbor:"8,keyasint,omitempty" json:"comment,omitempty"`
	Changed []string `cbor:"9,keyasint,omitempty" json:"changed,omitempty"`
	// Other is the change that was in the way: who changed what.
	Other *VersionInfo `cbor:"10,keyasint,omitempty" json:"other,omitempty"`
	// Unreached lists nodes that did not acknowledge, and Rejected lists nodes that rejected the body, with at most
	// maxNamedNodes each.
	Unreached []string    `cbor:"11,keyasint,omitempty" json:"unreached,omitempty"`
	Rejected  []Rejection `cbor:"12,keyasint,omitempty" json:"rejected,omitempty"`
	// UnreachedCount and RejectedCount count all such nodes.
	UnreachedCount int `cbor:"13,keyasint,omitempty" json:"unreached_count,omitempty"`
	RejectedCount  int `cbor:"14,keyasint,omitempty" json:"rejected_count,omitempty"`
}

// maxNamedNodes bounds the lists of nodes in a result, so that its row stays small.
const maxNamedNodes = 100

// Definite reports whether the result is final.
func (r Result) Definite() bool { return r.State == StateAccepted || r.State == StateRefused }

// acceptedResult returns the result of the change that made the version.
func acceptedResult(h VersionInfo) Result {
	return Result{
		ID: h.ID, State: StateAccepted, Base: h.Version - 1, Version: h.Version, Hash: h.Hash,
		Author: h.Author, Comment: h.Comment, Changed: h.Changed,
	}
}

// parseHead parses the reply to a read of the head row. A missing row stands for the state before the first change.
func parseHead(r Reply) (HeadRow, platform.Condition, error) {
	if errors.Is(r.Err, platform.ErrNotFound) {
		return HeadRow{}, platform.Condition{Absent: true}, nil
	}
	if r.Err != nil {
		return HeadRow{}, platform.Condition{}, r.Err
	}
	row, err := decodeRow(r.Row.Value)
	return row, platform.Condition{Version: r.Row.Version}, err
}

func decodeResult(value []byte) (Result, error) {
	var r Result
	if err := cborDecMode.Unmarshal(value, &r); err != nil {
		return r, fmt.Errorf("change row: %w", err)
	}
	return r, nil
}
