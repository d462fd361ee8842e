package message

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	mrand "math/rand/v2"
	"strings"
)

// ID identifies a root request, the request of an outside caller that starts a call chain. All calls of the chain and all retries
// by nodes carry the same ID. It is the trace ID of the W3C traceparent header.
type ID [16]byte

// SpanID identifies one call within a root request.
type SpanID [8]byte

// ErrTraceparent reports a malformed traceparent header.
var ErrTraceparent = errors.New("malformed traceparent header")

const (
	traceparentVersion = "00"
	traceparentFlags   = "01"
)

// NewID returns a random request ID. It panics if the operating system's random source fails, as crypto/rand does.
func NewID() ID {
	var id ID
	_, _ = rand.Read(id[:])
	return id
}

// NewSpanID returns a random span ID that is not zero. Span IDs need to be unique only within one root request, so the fast
// generator suffices.
func NewSpanID() SpanID {
	var s SpanID
	binary.BigEndian.PutUint64(s[:], mrand.Uint64()|1)
	return s
}

// String returns the ID as 32 hexadecimal digits.
func (id ID) String() string { return hex.EncodeToString(id[:]) }

// IsZero reports whether the ID is unset.
func (id ID) IsZero() bool { return id == ID{} }

// String returns the span ID as 16 hexadecimal digits.
func (s SpanID) String() string { return hex.EncodeToString(s[:]) }

// Traceparent returns the W3C traceparent header for a call.
func Traceparent(id ID, span SpanID) string {
	b := make([]byte, 0, 55)
	b = append(b, traceparentVersion...)
	b = append(b, '-')
	b = hex.AppendEncode(b, id[:])
	b = append(b, '-')
	b = hex.AppendEncode(b, span[:])
	b = append(b, '-')
	b = append(b, traceparentFlags...)
	return string(b)
}

// ParseTraceparent parses a W3C traceparent header. It accepts every version whose first four fields have the format of
// version 00.
func ParseTraceparent(s string) (ID, SpanID, error) {
	var id ID
	var span SpanID
	parts := strings.SplitN(s, "-", 5)
	if len(parts) < 4 || len(parts[0]) != 2 || len(parts[1]) != 32 || len(parts[2]) != 16 {
		return id, span, fmt.Errorf("%w: %q", ErrTraceparent, s)
	}
	if _, err := hex.Decode(id[:], []byte(parts[1])); err != nil {
		return id, span, fmt.Errorf("%w: trace ID: %v", ErrTraceparent, err)
	}
	if _, err := hex.Decode(span[:], []byte(parts[2])); err != nil {
		return id, span, fmt.Errorf("%w: span ID: %v", ErrTraceparent, err)
	}
	if id.IsZero() || span == (SpanID{}) {
		return id, span, fmt.Errorf("%w: all zeros", ErrTraceparent)
	}
	return id, span, nil
}
