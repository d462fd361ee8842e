package rollout

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"
)

// Limits of a bundle, which is sent between nodes in one message.
const (
	MaxBundleBytes = 1 << 20
	MaxBundleFiles = 256
	maxFileName    = 128 // bytes
)

// ErrBundle reports a bundle that is malformed or exceeds the limits.
var ErrBundle = errors.New("invalid bundle")

// File is one file of a bundle.
type File struct {
	Name string `cbor:"1,keyasint" json:"name"`
	Body []byte `cbor:"2,keyasint" json:"body"`
}

// Bundle is the body of a version: the base file, which is the same for all sites, and an overlay file for each site. The
// files are sorted by name.
type Bundle struct {
	Files []File `cbor:"1,keyasint" json:"files"`
}

var (
	cborEncMode = must(cbor.CoreDetEncOptions().EncMode())
	cborDecMode = must(cbor.DecOptions{
		DupMapKey:          cbor.DupMapKeyEnforcedAPF,
		IndefLength:        cbor.IndefLengthForbidden,
		MaxArrayElements:   1 << 16,
		MaxMapPairs:        64,
		MaxNestedLevels:    12,
		ByteStringToString: cbor.ByteStringToStringForbidden,
	}.DecMode())
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// Hash returns the name of a body in the object store: its SHA-256 in hexadecimal.
func Hash(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// Encode returns the canonical encoding of the bundle, which depends on the files alone and not on their order.
func (b Bundle) Encode() ([]byte, error) {
	files := slices.Clone(b.Files)
	slices.SortFunc(files, func(x, y File) int { return strings.Compare(x.Name, y.Name) })
	sorted := Bundle{Files: files}
	if err := sorted.check(); err != nil {
		return nil, err
	}
	body, err := cborEncMode.Marshal(sorted)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrBundle, err)
	}
	if len(body) > MaxBundleBytes {
		return nil, fmt.Errorf("%w: %d bytes, limit %d", ErrBundle, len(body), MaxBundleBytes)
	}
	return body, nil
}

// DecodeBundle parses the canonical encoding and rejects any other.
func DecodeBundle(body []byte) (Bundle, error) {
	var b Bundle
	if len(body) > MaxBundleBytes {
		return b, fmt.Errorf("%w: %d bytes, limit %d", ErrBundle, len(body), MaxBundleBytes)
	}
	if err := cborDecMode.Unmarshal(body, &b); err != nil {
		return b, fmt.Errorf("%w: %w", ErrBundle, err)
	}
	if err := b.check(); err != nil {
		return Bundle{}, err
	}
	again, err := cborEncMode.Marshal(b)
	if err != nil || string(again) != string(body) {
		return Bundle{}, fmt.Errorf("%w: not in canonical form", ErrBundle)
	}
	return b, nil
}

func (b Bundle) check() error {
	if len(b.Files) == 0 || len(b.Files) > MaxBundleFiles {
		return fmt.Errorf("%w: %d files, limits 1 and %d", ErrBundle, len(b.Files), MaxBundleFiles)
	}
	for i, f := range b.Files {
		if f.Name == "" || len(f.Name) > maxFileName || strings.ContainsAny(f.Name, "/\\\x00") {
			return fmt.Errorf("%w: file name %q", ErrBundle, f.Name)
		}
		if i > 0 && b.Files[i-1].Name >= f.Name {
			return fmt.Errorf("%w: file %q is a duplicate or out of order", ErrBundle, f.Name)
		}
	}
	return nil
}

// ChangedFiles returns the names of the files that differ between two bundles, in order.
func (b Bundle) ChangedFiles(other Bundle) []string {
	old := map[string]string{}
	for _, f := range b.Files {
		old[f.Name] = string(f.Body)
	}
	var names []string
	for _, f := range other.Files {
		if body, ok := old[f.Name]; !ok || body != string(f.Body) {
			names = append(names, f.Name)
		}
		delete(old, f.Name)
	}
	for name := range old {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
