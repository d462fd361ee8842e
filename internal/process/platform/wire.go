package platform

import (
	"net/url"
	"strings"
)

// Paths and query parameters of the platform's wire format, which docs/platform.md describes. Package platformserver, a
// stand-in for the platform in tests, uses the same format.
const (
	// PathRow is the path of one row below the table URL; its key is the query parameter ParamKey.
	PathRow = "/row"
	// PathRows is the path of the list of rows, with the query parameters ParamPrefix and ParamLimit.
	PathRows = "/rows"
	// PathTransaction is the path of transactions below the table URL.
	PathTransaction = "/transaction"
	// PathObjects is the path of objects below the object store URL, followed by the hash.
	PathObjects = "/objects/"

	ParamKey    = "key"
	ParamPrefix = "prefix"
	ParamLimit  = "limit"

	// HeaderEpoch is in the responses of a store that can come back from an older copy: its epoch, a decimal number.
	HeaderEpoch = "Store-Epoch"
)

// WireRow is a row in a list response. Its value is encoded in base64.
type WireRow struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version string `json:"version"`
}

// WireWrite is a write in a transaction request.
type WireWrite struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Absent  bool   `json:"absent,omitempty"`
	Version string `json:"version,omitempty"`
}

// WireTransaction is the body of a transaction request.
type WireTransaction struct {
	Writes []WireWrite `json:"writes"`
}

// WireVersions is the body of the response to a transaction: the new version of each write, in order.
type WireVersions struct {
	Versions []string `json:"versions"`
}

// ETag returns the strong entity tag of a version.
func ETag(version string) string { return `"` + url.PathEscape(version) + `"` }

// ParseETag returns the version in a strong entity tag. It rejects weak tags, which cannot be the precondition of a write.
func ParseETag(tag string) (string, bool) {
	inner, ok := strings.CutPrefix(tag, `"`)
	if !ok {
		return "", false
	}
	if inner, ok = strings.CutSuffix(inner, `"`); !ok || inner == "" {
		return "", false
	}
	version, err := url.PathUnescape(inner)
	return version, err == nil
}
