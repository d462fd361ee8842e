package client

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
)

// keyPool holds unused idempotency keys issued by one node.
type keyPool struct {
	fetchToken  chan struct{} // semaphore of size one for the call that fetches keys
	mu          sync.Mutex
	keys        []string
	usableUntil time.Time // after this time the keys are no longer taken
}

func newKeyPool() keyPool { return keyPool{fetchToken: make(chan struct{}, 1)} }

func (p *keyPool) take() (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.keys) == 0 || time.Now().After(p.usableUntil) {
		return "", false
	}
	key := p.keys[len(p.keys)-1]
	p.keys = p.keys[:len(p.keys)-1]
	return key, true
}

func (p *keyPool) clear() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.keys = nil
}

func (p *keyPool) set(keys []string, usableUntil time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.keys, p.usableUntil = keys, usableUntil
}

// issuedKeys is the body of the response to POST /-/keys.
type issuedKeys struct {
	Keys    []string `json:"keys"`
	ValidMS int64    `json:"valid_ms"`
}

// takeKey returns an unused key of the node. If there is none, the result says why; the request itself was not sent.
func (n *node) takeKey(ctx context.Context) (string, result, bool) {
	if key, ok := n.keys.take(); ok {
		return key, result{}, true
	}
	select {
	case n.keys.fetchToken <- struct{}{}:
		defer func() { <-n.keys.fetchToken }()
	case <-ctx.Done():
		return "", n.failedResult(false, message.StepKey, reasonOf(ctx, ctx.Err()), ctx.Err()), false
	}
	if key, ok := n.keys.take(); ok {
		return key, result{}, true
	}
	if r, ok := n.fetchKeys(ctx); !ok {
		return "", r, false
	}
	if key, ok := n.keys.take(); ok {
		return key, result{}, true
	}
	return "", n.failedResult(false, message.StepKey, message.ReasonInternal, errNoKeys), false
}

var errNoKeys = errors.New("the node issued no usable keys")

func (n *node) fetchKeys(ctx context.Context) (result, bool) {
	attempt, cancel := context.WithTimeout(ctx, n.opts.AttemptTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(attempt, http.MethodPost, "http://"+n.address+"/-/keys?n="+strconv.Itoa(n.opts.KeyBatch), nil)
	if err != nil {
		return n.failedResult(false, message.StepKey, message.ReasonInvalid, err), false
	}
	requestedAt := time.Now()
	resp, sent, err := n.roundTrip(attempt, req)
	if err != nil {
		r := n.transportFailure(ctx, sent, err)
		r.outcome, r.sent, r.step = message.NotRun, false, message.StepKey // only the request for keys was sent
		return r, false
	}
	defer resp.Body.Close()
	body, err := readComplete(req, resp, maxKeyBody)
	if err != nil {
		return n.failedResult(false, message.StepKey, reasonOf(ctx, err), err), false
	}
	if resp.StatusCode != http.StatusOK {
		return n.keyRefusal(resp), false
	}
	var issued issuedKeys
	if err := json.Unmarshal(body, &issued); err != nil || len(issued.Keys) == 0 {
		return n.failedResult(false, message.StepKey, message.ReasonInternal, errors.Join(errNoKeys, err)), false
	}
	// A key must stay valid during the whole call of Do that uses it. Its validity is counted from the time before the
	// request for keys, because the node issued the keys after that.
	validity := time.Duration(issued.ValidMS) * time.Millisecond
	n.keys.set(issued.Keys, requestedAt.Add(validity-min(n.opts.Timeout, validity/2)))
	return result{}, true
}

// keyRefusal returns the result for the response of a node that issued no keys.
func (n *node) keyRefusal(resp *http.Response) result {
	r := n.failedResult(false, message.StepKey, message.ReasonInternal, fmt.Errorf("the node issued no keys: status %d", resp.StatusCode))
	r.retryAfter = parseRetryAfter(resp.Header.Get(message.HeaderRetryAfter))
	r.answered = r.retryAfter > 0
	if reason := resp.Header.Get(message.HeaderReason); reason != "" {
		r.reason = reason
	}
	return r
}
