package once

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
)

// ErrMalformedKey reports an idempotency key that is empty, corrupted, too long, or contains characters outside printable
// ASCII.
var ErrMalformedKey = errors.New("malformed idempotency key")

const (
	// issuedPrefix marks keys issued by nodes. The digit is the version of the format.
	issuedPrefix = "wg1."
	// maxCallerKey is the maximum length of caller-supplied keys, in bytes.
	maxCallerKey = 255
	// maxIssuedKey is the maximum length of node-issued keys, in bytes, so that overlong input is refused before decoding.
	maxIssuedKey = 512
	checksumSize = 8
)

// tag is a keyed hash that only the process that issued or bound a key can compute. It makes keys unguessable, and lets a
// process reject the keys of an earlier process with the same address and incarnation.
type tag [8]byte

// Key is an idempotency key together with its home node, if that is known.
type Key struct {
	Text        string // as in the Idempotency-Key header
	Home        string // peer address of the home node; empty for a caller-supplied key that is not bound yet
	Incarnation uint64 // of the home node

	counter  uint64        // distinguishes the keys of one node; zero for caller-supplied keys
	issued   time.Duration // on the home node's monotonic clock
	validity time.Duration // fixed in the key, so that a policy change never makes an expired key valid again
	tag      tag
}

// Bound reports whether the key's home node is known.
func (k Key) Bound() bool { return k.Home != "" }

func (k Key) nodeIssued() bool { return strings.HasPrefix(k.Text, issuedPrefix) }

func (k Key) expiry() time.Duration { return k.issued + k.validity }

// Parse parses the value of an Idempotency-Key header. A node-issued key contains its home node; a caller-supplied key is
// returned unbound. A corrupted node-issued key is an error and is never treated as a caller-supplied one.
func Parse(text string) (Key, error) {
	if strings.HasPrefix(text, issuedPrefix) {
		return parseIssued(text)
	}
	if text == "" || len(text) > maxCallerKey {
		return Key{}, fmt.Errorf("%w: length %d is outside 1 to %d", ErrMalformedKey, len(text), maxCallerKey)
	}
	for i := range len(text) {
		if text[i] < '!' || text[i] > '~' {
			return Key{}, fmt.Errorf("%w: byte %d is not a printable ASCII character", ErrMalformedKey, i)
		}
	}
	return Key{Text: text}, nil
}

// encode returns the text of a node-issued key.
func (k Key) encode() string {
	b := make([]byte, 0, 64+len(k.Home))
	b = binary.AppendUvarint(b, k.Incarnation)
	b = binary.AppendUvarint(b, k.counter)
	b = binary.AppendUvarint(b, uint64(k.issued/time.Millisecond))
	b = binary.AppendUvarint(b, uint64(k.validity/time.Millisecond))
	b = append(b, k.tag[:]...)
	b = append(b, k.Home...)
	b = binary.BigEndian.AppendUint64(b, xxhash.Sum64(b))
	return issuedPrefix + base64.RawURLEncoding.EncodeToString(b)
}

func parseIssued(text string) (Key, error) {
	if len(text) > maxIssuedKey {
		return Key{}, fmt.Errorf("%w: length %d", ErrMalformedKey, len(text))
	}
	b, err := base64.RawURLEncoding.DecodeString(text[len(issuedPrefix):])
	if err != nil {
		return Key{}, fmt.Errorf("%w: %w", ErrMalformedKey, err)
	}
	if len(b) < checksumSize {
		return Key{}, fmt.Errorf("%w: too short", ErrMalformedKey)
	}
	b = b[:len(b)-checksumSize]
	k := Key{Text: text}
	var fields [4]uint64
	for i := range fields {
		v, n := binary.Uvarint(b)
		if n <= 0 {
			return Key{}, fmt.Errorf("%w: truncated field", ErrMalformedKey)
		}
		fields[i], b = v, b[n:]
	}
	if len(b) <= len(k.tag) {
		return Key{}, fmt.Errorf("%w: no home address", ErrMalformedKey)
	}
	k.Incarnation, k.counter = fields[0], fields[1]
	k.issued = time.Duration(fields[2]) * time.Millisecond
	k.validity = time.Duration(fields[3]) * time.Millisecond
	copy(k.tag[:], b)
	k.Home = string(b[len(k.tag):])
	// Encoding the key again verifies the checksum, and refuses any other text of the same key, which would be a different key
	// to the store and could run again.
	if k.encode() != text {
		return Key{}, fmt.Errorf("%w: wrong checksum or not in canonical form", ErrMalformedKey)
	}
	return k, nil
}

// sign computes the tag of a key with the secret of the process.
func (k Key) sign(secret []byte) tag {
	mac := hmac.New(sha256.New, secret)
	var b [24]byte
	binary.BigEndian.PutUint64(b[0:], k.counter)
	binary.BigEndian.PutUint64(b[8:], uint64(k.issued))
	binary.BigEndian.PutUint64(b[16:], uint64(k.validity))
	mac.Write(b[:])
	if !k.nodeIssued() {
		mac.Write([]byte(k.Text))
	}
	var t tag
	copy(t[:], mac.Sum(nil))
	return t
}

// Fingerprint is a hash of a request. It detects a key that is used with different requests.
type Fingerprint [16]byte

// FingerprintOf returns the fingerprint of a request's service, method, path and body.
func FingerprintOf(req *message.Request) Fingerprint {
	h := sha256.New()
	var n [8]byte
	for _, s := range []string{req.Service, req.Method, req.Path} {
		// The length prefixes make the boundaries between the fields unambiguous.
		binary.BigEndian.PutUint64(n[:], uint64(len(s)))
		h.Write(n[:])
		h.Write([]byte(s))
	}
	h.Write(req.Body)
	var f Fingerprint
	copy(f[:], h.Sum(nil))
	return f
}
