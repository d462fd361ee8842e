package platform

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// HTTPTable implements Table over HTTP. It is safe for concurrent use.
type HTTPTable struct {
	client *Client
	epoch  NewestEpoch
}

// NewHTTPTable returns a client for the table service at tableURL. The timeout bounds each request.
func NewHTTPTable(tableURL string, timeout time.Duration) (*HTTPTable, error) {
	t := &HTTPTable{}
	var err error
	if t.client, err = NewClient(tableURL, timeout, HeaderEpoch, &t.epoch); err != nil {
		return nil, err
	}
	return t, nil
}

// Epoch implements Table.
func (t *HTTPTable) Epoch() Epoch { return t.epoch.Load() }

// Observe implements Table.
func (t *HTTPTable) Observe(e Epoch) { t.epoch.Observe(e) }

// Close closes idle connections.
func (t *HTTPTable) Close() error { return t.client.Close() }

// Get implements Table.
func (t *HTTPTable) Get(ctx context.Context, key string) (Row, error) {
	r, err := t.client.Do(ctx, Request{Method: http.MethodGet, Path: rowPath(key)})
	if err == nil {
		err = CheckReadStatus(r.Status)
	}
	if err != nil {
		return Row{}, fmt.Errorf("get %q: %w", key, err)
	}
	version, ok := ParseETag(r.Header.Get("ETag"))
	if !ok {
		return Row{}, fmt.Errorf("get %q: %w: no strong ETag in the response", key, ErrUnavailable)
	}
	return Row{Key: key, Value: r.Body, Version: Version{r.Epoch, version}}, nil
}

// Put implements Table.
func (t *HTTPTable) Put(ctx context.Context, key string, value []byte, cond Condition) (Version, error) {
	if cond.Absent && cond.Version != (Version{}) {
		return Version{}, fmt.Errorf("put %q: %w: a row cannot both be absent and have a version", key, ErrConflict)
	}
	writes := []Write{{Key: key, Cond: cond}}
	if err := CheckConditions(writes, t.epoch.Load()); err != nil {
		return Version{}, fmt.Errorf("put: %w", err)
	}
	h := http.Header{"Content-Type": {"application/octet-stream"}}
	if cond.Absent {
		h.Set("If-None-Match", "*")
	}
	if cond.Version != (Version{}) {
		h.Set("If-Match", ETag(cond.Version.Text))
	}
	r, err := t.client.Do(ctx, Request{Method: http.MethodPut, Path: rowPath(key), Header: h, Body: value, Write: true})
	if err == nil {
		err = CheckWriteStatus(r.Status)
	}
	if err != nil {
		return Version{}, fmt.Errorf("put %q: %w", key, err)
	}
	version, ok := ParseETag(r.Header.Get("ETag"))
	if !ok {
		return Version{}, fmt.Errorf("put %q: %w: no strong ETag in the response", key, ErrInDoubt)
	}
	if err := CheckApplied(writes, r.Epoch); err != nil {
		return Version{}, fmt.Errorf("put: %w", err)
	}
	return Version{r.Epoch, version}, nil
}

// List implements Table.
func (t *HTTPTable) List(ctx context.Context, prefix string, limit int) ([]Row, error) {
	q := url.Values{ParamPrefix: {prefix}, ParamLimit: {strconv.Itoa(limit)}}
	r, err := t.client.Do(ctx, Request{Method: http.MethodGet, Path: PathRows + "?" + q.Encode()})
	if err == nil && r.Status != http.StatusOK {
		err = fmt.Errorf("%w: status %d", ErrUnavailable, r.Status)
	}
	if err != nil {
		return nil, fmt.Errorf("list %q: %w", prefix, err)
	}
	var wire []WireRow
	if err := json.Unmarshal(r.Body, &wire); err != nil {
		return nil, fmt.Errorf("list %q: %w: %w", prefix, ErrUnavailable, err)
	}
	rows := make([]Row, 0, len(wire))
	for _, w := range wire {
		rows = append(rows, Row{Key: w.Key, Value: w.Value, Version: Version{r.Epoch, w.Version}})
	}
	return rows, nil
}

// Commit implements Table. It sends the whole transaction in one request.
func (t *HTTPTable) Commit(ctx context.Context, writes []Write) ([]Version, error) {
	if err := CheckConditions(writes, t.epoch.Load()); err != nil {
		return nil, fmt.Errorf("commit: %w", err)
	}
	var tx WireTransaction
	for _, w := range writes {
		tx.Writes = append(tx.Writes, WireWrite{Key: w.Key, Value: w.Value, Absent: w.Cond.Absent, Version: w.Cond.Version.Text})
	}
	body, err := json.Marshal(tx)
	if err != nil {
		return nil, fmt.Errorf("commit: %w: %w", ErrUnavailable, err)
	}
	h := http.Header{"Content-Type": {"application/json"}}
	r, err := t.client.Do(ctx, Request{Method: http.MethodPost, Path: PathTransaction, Header: h, Body: body, Write: true})
	if err == nil {
		err = CheckWriteStatus(r.Status)
	}
	if err != nil {
		return nil, fmt.Errorf("commit: %w", err)
	}
	var out WireVersions
	if err := json.Unmarshal(r.Body, &out); err != nil {
		return nil, fmt.Errorf("commit: %w: %w", ErrInDoubt, err)
	}
	if len(out.Versions) != len(writes) {
		return nil, fmt.Errorf("commit: %w: %d versions for %d writes", ErrInDoubt, len(out.Versions), len(writes))
	}
	if err := CheckApplied(writes, r.Epoch); err != nil {
		return nil, fmt.Errorf("commit: %w", err)
	}
	versions := make([]Version, len(writes))
	for i, text := range out.Versions {
		versions[i] = Version{r.Epoch, text}
	}
	return versions, nil
}

func rowPath(key string) string { return PathRow + "?" + url.Values{ParamKey: {key}}.Encode() }

// HTTPObjects implements Objects over HTTP. It is safe for concurrent use.
type HTTPObjects struct{ client *Client }

// NewHTTPObjects returns a client for the object store at objectsURL. The timeout bounds each request.
func NewHTTPObjects(objectsURL string, timeout time.Duration) (*HTTPObjects, error) {
	c, err := NewClient(objectsURL, timeout, HeaderEpoch, &NewestEpoch{})
	if err != nil {
		return nil, err
	}
	return &HTTPObjects{c}, nil
}

// Close closes idle connections.
func (o *HTTPObjects) Close() error { return o.client.Close() }

// Put implements Objects. If the object already exists, it has the same body, because the hash determines the body.
func (o *HTTPObjects) Put(ctx context.Context, body []byte) (string, error) {
	hash := Hash(body)
	h := http.Header{"Content-Type": {"application/octet-stream"}, "If-None-Match": {"*"}}
	r, err := o.client.Do(ctx, Request{Method: http.MethodPut, Path: PathObjects + hash, Header: h, Body: body, Write: true})
	if err == nil && r.Status != http.StatusPreconditionFailed {
		err = CheckWriteStatus(r.Status)
	}
	if err != nil {
		return "", fmt.Errorf("put object %s: %w", hash, err)
	}
	return hash, nil
}

// Get implements Objects.
func (o *HTTPObjects) Get(ctx context.Context, hash string) ([]byte, error) {
	r, err := o.client.Do(ctx, Request{Method: http.MethodGet, Path: PathObjects + url.PathEscape(hash)})
	if err == nil {
		err = CheckReadStatus(r.Status)
	}
	if err != nil {
		return nil, fmt.Errorf("get object %s: %w", hash, err)
	}
	if got := Hash(r.Body); got != hash {
		return nil, fmt.Errorf("get object %s: %w: body has hash %s", hash, ErrUnavailable, got)
	}
	return r.Body, nil
}

// Hash returns the name of the object with the given body: its SHA-256 hash in hexadecimal.
func Hash(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}
