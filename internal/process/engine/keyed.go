package engine

import (
	"context"
	"crypto/sha256"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/process/invariant"
	"github.com/wigeoncleat/wigeoncleat/internal/process/once"
	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
	"github.com/wigeoncleat/wigeoncleat/internal/request/retry"
)

// platformRetryAfter is the Retry-After for a caller whose key could not be bound.
const platformRetryAfter = time.Second

// processKeyedCall executes a call of a non-idempotent route. The home node of its key decides whether it may run.
func (e *Engine) processKeyedCall(ctx context.Context, c *call) *message.Response {
	if c.req.Key == "" {
		if c.req.Hop == 0 {
			return e.refuse(message.ReasonKeyRequired, message.StepKey, "route %q needs an Idempotency-Key header", c.route.Name)
		}
		// A call that a target makes without a key gets a new one. This node is its home node, and the target does not learn the
		// key, so that only this node can retry the call.
		c.req.Key = e.cfg.Keys.Issue(1)[0]
	}
	key, refusal := e.resolveKey(ctx, c.req.Key)
	if refusal != nil {
		return refusal
	}
	if key.Home == e.cfg.Address {
		return e.claim(ctx, c, key)
	}
	return e.forwardToHome(ctx, c, key)
}

// recordedResponse answers a repeat of a request whose key has a record at this node, or returns nil. It must be called
// before any check that refuses new requests: for a request that ran before, the outcome NotRun would be false.
func (e *Engine) recordedResponse(ctx context.Context, req *message.Request) *message.Response {
	if req.Key == "" {
		return nil
	}
	res, ok := e.cfg.Keys.Lookup(req)
	if !ok {
		return nil
	}
	if res.Verdict == once.Wait {
		res = res.Running.Wait(ctx)
	}
	return e.withPeer(res.Response)
}

// withPeer sets the peer of the response's error to this node if it is empty, as it is in errors of the key store and of
// admission. It copies the error, because the key store shares errors between responses.
func (e *Engine) withPeer(r *message.Response) *message.Response {
	if r.Err != nil && r.Err.Peer == "" {
		err := *r.Err
		err.Peer = e.cfg.Address
		r.Err = &err
	}
	return r
}

// resolveKey parses a key and, if it is caller-supplied, finds or creates its binding to a home node. If the binding cannot
// be read, an earlier attempt may have run at another home node, so the outcome is Unknown.
func (e *Engine) resolveKey(ctx context.Context, text string) (once.Key, *message.Response) {
	key, err := once.Parse(text)
	if err != nil {
		return key, e.refuse(message.ReasonInvalid, message.StepKey, "%v", err)
	}
	if key.Bound() {
		return key, nil
	}
	if e.cfg.Binder == nil {
		return key, e.refuse(message.ReasonPlatform, message.StepKey, "keys that callers chose need a platform")
	}
	binding, err := e.cfg.Binder.Bind(ctx, key)
	if err != nil {
		r := message.UnknownOutcome(message.ReasonPlatform, message.Errorf(message.StepKey, e.cfg.Address, "%v", err))
		r.RetryAfter = platformRetryAfter
		return key, r
	}
	return binding.Key, nil
}

// forwardToHome forwards the call to the home node of its key.
func (e *Engine) forwardToHome(ctx context.Context, c *call, key once.Key) *message.Response {
	// This node makes no attempts of its own, so the home node gets all retries.
	share := c.ledger.HandDownAll()
	home := *c.req
	home.Mode = message.ModeHome
	home.Retries = share.Size()
	r := e.cfg.Peers.Send(ctx, key.Home, &home)
	if r.Outcome == message.NotRun && !unreached(r, key.Home) {
		share.Return(r.RetriesLeft) // the home node may have used retries on attempts that were not run
	} else {
		settleShare(share, r)
	}
	e.learnThresholds(c, r)
	if r.Outcome == message.NotRun && r.Reason == message.ReasonConnection {
		// The home node was not reached, so this attempt did not run, but an earlier attempt with the same key may have.
		r.Outcome = message.Unknown
	}
	return r
}

// unreached reports whether this node generated a response with the outcome NotRun itself, because the node at the address did not
// accept the request. StepAwait is such a case: a node that leaves tells its peers which requests it did not accept.
func unreached(r *message.Response, address string) bool {
	return r.Err != nil && r.Err.Peer == address &&
		(r.Err.Step == message.StepDial || r.Err.Step == message.StepSend || r.Err.Step == message.StepAwait)
}

// serveHome handles a request that another node forwarded to the home node of its key. For a caller-supplied key it looks up the
// binding again: the request carries only the text of the key, and an error of the other node must not make this node run a key
// that is bound to another home node.
func (e *Engine) serveHome(ctx context.Context, req *message.Request) *message.Response {
	ledger := retry.NewLedger(req.Retries)
	r := e.claimAsHome(ctx, req, ledger)
	r.RetriesLeft = ledger.Close()
	invariant.CheckErr(invariant.RetryConservation, ledger.Check())
	return r
}

func (e *Engine) claimAsHome(ctx context.Context, req *message.Request, ledger *retry.Ledger) *message.Response {
	c, refusal := e.matchRoute(req)
	if refusal != nil {
		return refusal
	}
	c.ledger = ledger
	key, refusal := e.resolveKey(ctx, req.Key)
	if refusal != nil {
		return refusal
	}
	if key.Home != e.cfg.Address {
		// The reason says that the key must not run here; the key itself need not have expired.
		return message.UnknownOutcome(message.ReasonKeyExpired,
			message.Errorf(message.StepKey, e.cfg.Address, "the key's home node is %s", key.Home))
	}
	return e.claim(ctx, c, key)
}

// claim runs the call at most once for its key.
func (e *Engine) claim(ctx context.Context, c *call, key once.Key) *message.Response {
	res := e.cfg.Keys.Begin(key, once.FingerprintOf(c.req))
	if res.Verdict == once.Wait {
		res = res.Running.Wait(ctx)
	}
	if res.Verdict != once.Run {
		return e.withPeer(res.Response)
	}
	if c.req.Hop > 0 {
		return e.runClaim(ctx, c, res.Claim) // limited by the budget of the upstream request
	}
	return e.runCallerClaim(ctx, c, key, res.Claim)
}

// runCallerClaim runs the claim of a caller's request within the retry budget of its key. All attempts of such a request
// pass through the home node of its key, so the budget holds for all entry nodes and request IDs that the caller uses.
func (e *Engine) runCallerClaim(ctx context.Context, c *call, key once.Key, claim *once.Claim) *message.Response {
	share := c.ledger.HandDownAll()
	ledger := e.roots.get(budgetID(key), share.Size()).ledger
	ledger.Limit(share.Size())
	c.ledger = ledger
	r := e.runClaim(ctx, c, claim)
	share.Return(ledger.Left())
	invariant.CheckErr(invariant.RetryConservation, ledger.Check())
	return r
}

// budgetID returns the ID under which the retry budget of a key is stored in roots.
func budgetID(key once.Key) message.ID {
	sum := sha256.Sum256([]byte(key.Text))
	return message.ID(sum[:len(message.ID{})])
}

// runClaim runs the call and settles its claim. It continues when the caller disconnects: the response is recorded, and a
// repeat of the request gets it. As in prepareFromTarget, a call that belongs to a request running at the local target is
// part of that request and is not refused as a new one.
func (e *Engine) runClaim(ctx context.Context, c *call, claim *once.Claim) *message.Response {
	defer claim.Unknown(nil)
	if r := e.notAccepting(); r != nil && c.parent == nil {
		claim.Refuse(r)
		return r
	}
	e.active.Add(1)
	defer e.active.Add(-1)
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), c.req.Deadline)
	defer cancel()
	r := e.attempts(ctx, c)
	switch r.Outcome {
	case message.Answered:
		claim.Done(r)
	case message.NotRun:
		claim.Refuse(r)
	default:
		claim.Unknown(r)
	}
	return r
}
