package mesh

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/wigeoncleat/wigeoncleat/internal/process/admission"
	"github.com/wigeoncleat/wigeoncleat/internal/process/quarantine"
	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
	"github.com/wigeoncleat/wigeoncleat/internal/version/organisation"
	"github.com/wigeoncleat/wigeoncleat/internal/version/routing"
)

// withOrganisations gives the node a configuration with two organisations and a public route.
func (n *testNode) withOrganisations(t *testing.T) *routing.Table {
	t.Helper()
	public := &routing.Route{Name: "public", Host: "h", Prefix: "/public/", MaxAttempts: 2, Public: true, Priority: 1,
		Split: []routing.WeightedService{{Service: "menu", Weight: 1}}}
	table, err := routing.New(5, append([]*routing.Route{public}, testRoutes...), []routing.Service{{Name: "menu"}}, routing.DefaultLimits())
	require.NoError(t, err)
	table.Organisations = organisation.NewSet()
	table.Organisations.Add(organisation.Organisation{Name: "high", Priority: 0})
	table.Organisations.Add(organisation.Organisation{Name: "low", Priority: 1})
	table.Organisations.AddKey("high", "key-h")
	table.Organisations.AddKey("low", "key-l")
	table.Source([]byte{5}, 1)
	n.proxy.cfg.Routes.Store(table)
	n.proxy.cfg.RemoveIdentity = func(req *message.Request) {
		if req.Header.Get("Authorization") != "" {
			req.CredentialsHash = 7
		}
		req.Header.Del("Authorization")
		req.Header.Del("Organisation")
	}
	return table
}

// keyed returns a request with a key, and with an organisation that the caller claims.
func keyed(path, attempt, key string) *message.Request {
	req := request(path, attempt)
	req.Header = http.Header{"Organisation": {"claimed"}}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
		req.OrganisationKey = key
	}
	return req
}

// Guards against requests that run without the key of an organisation, against wrong answers to them, and against keys and claims of
// callers that reach a target.
func TestRequestsNeedTheKeyOfAnOrganisation(t *testing.T) {
	for _, c := range []struct {
		name, path, attempt, key string
		organisation             string         // as sent on; only looked at if there is no refusal
		refusal                  message.Reason // none: sent on
	}{
		{name: "known key", path: "/menu/1", attempt: "a", key: "key-h", organisation: "high"},
		{name: "unknown key", path: "/menu/1", attempt: "a", key: "other", refusal: message.ReasonKeyUnknown},
		{name: "no key", path: "/menu/1", attempt: "a", refusal: message.ReasonKeyMissing},
		{name: "no route", path: "/none/1", attempt: "a", refusal: message.ReasonNoService},
		{name: "public, no key", path: "/public/1", attempt: "a"},
		{name: "public, unknown key", path: "/public/1", attempt: "a", key: "other"},
		{name: "public, known key", path: "/public/1", attempt: "a", key: "key-l", organisation: "low"},
		{name: "call of an unknown run", path: "/menu/1", attempt: "gone.1", refusal: message.ReasonRunUnknown},
		{name: "call", path: "/menu/1", attempt: "run.1.2", organisation: "low"},
		{name: "key with the ID of a call", path: "/menu/1", attempt: "run.1", key: "key-h", organisation: "high"},
		{name: "unknown key with the ID of a call", path: "/menu/1", attempt: "run.1", key: "other", refusal: message.ReasonKeyUnknown},
	} {
		n := newNode(t, 1)
		n.withOrganisations(t)
		n.proxy.activeRuns.begin(&attachedTarget{}, &message.Request{Attempt: "run", Organisation: "low", Deadline: request("/", "").Deadline}, nil)
		req := keyed(c.path, c.attempt, c.key)
		r := n.proxy.Serve(t.Context(), req)
		require.Empty(t, req.OrganisationKey, c.name)
		require.Equal(t, c.refusal, r.Reason, c.name)
		if c.refusal != message.ReasonNone {
			require.Equal(t, message.NotRun, r.Outcome, c.name)
			require.Zero(t, r.RetryAfter, c.name)
			require.Empty(t, n.sent, c.name)
			continue
		}
		require.Len(t, n.sent, 1, c.name)
		require.Equal(t, c.organisation, n.sent[0].Organisation, c.name)
		require.Empty(t, n.sent[0].Header, c.name)
		require.Empty(t, n.sent[0].OrganisationKey, c.name)
	}
}

// Guards against keys that a node accepts without knowing whether they are withdrawn, against an answer of 401 to a key that may be
// good, and against refusing what needs no key.
func TestUnconfirmedNodeAcceptsNoKeys(t *testing.T) {
	n := newNode(t, 1)
	table := n.withOrganisations(t)
	confirmed := false
	n.proxy.cfg.Revocation.Confirmed = func(s routing.Stamp) bool { return confirmed && s == table.Stamp }
	n.proxy.activeRuns.begin(&attachedTarget{}, &message.Request{Attempt: "run", Organisation: "low", Deadline: request("/", "").Deadline}, nil)
	for _, key := range []string{"key-h", "other"} {
		r := n.proxy.Serve(t.Context(), keyed("/menu/1", "a", key))
		require.Equal(t, message.ReasonKeyUnchecked, r.Reason)
		require.Equal(t, message.NotRun, r.Outcome)
		require.Positive(t, r.RetryAfter)
	}
	require.Empty(t, n.sent)
	require.Equal(t, message.Answered, n.proxy.Serve(t.Context(), keyed("/public/1", "b", "key-h")).Outcome)
	require.Empty(t, n.sent[0].Organisation, "the key may be withdrawn")
	require.Equal(t, message.Answered, n.proxy.Serve(t.Context(), keyed("/menu/1", "run.1", "")).Outcome)
	confirmed = true
	require.Equal(t, message.Answered, n.proxy.Serve(t.Context(), keyed("/menu/1", "c", "key-h")).Outcome)

	table.Organisations = organisation.NewSet() // the last key is withdrawn
	require.Equal(t, message.ReasonKeyUnknown, n.proxy.Serve(t.Context(), keyed("/menu/1", "d", "key-h")).Reason)
}

// Guards against deployments without organisations whose targets no longer get credentials, or whose requests are refused.
func TestWithoutOrganisationsHeadersAreForwarded(t *testing.T) {
	n := newNode(t, 1)
	require.Equal(t, message.Answered, n.proxy.Serve(t.Context(), keyed("/menu/1", "a", "any")).Outcome)
	require.Equal(t, http.Header{"Authorization": {"Bearer any"}, "Organisation": {"claimed"}}, n.sent[0].Header)
	require.Empty(t, n.sent[0].OrganisationKey)
}

// Guards against serving all requests because no organisation of the configuration can be used.
func TestUnusableOrganisationsDoNotEndTheCheck(t *testing.T) {
	n := newNode(t, 1)
	table := n.withOrganisations(t)
	table.Organisations = organisation.NewSet()
	require.Equal(t, message.Answered, n.proxy.Serve(t.Context(), keyed("/menu/1", "a", "")).Outcome, "an empty list")
	table.Organisations.SetNamed()
	require.Equal(t, message.ReasonKeyMissing, n.proxy.Serve(t.Context(), keyed("/menu/1", "b", "")).Reason)
	require.Equal(t, message.ReasonKeyUnknown, n.proxy.Serve(t.Context(), keyed("/menu/1", "c", "key-h")).Reason)
}

// Guards against shedding an organisation of high priority before one of low priority because of their routes.
func TestOrganisationGoesBeforeTheRoute(t *testing.T) {
	n := newNode(t, 1)
	n.withOrganisations(t)
	rank := func(path, key string) uint8 {
		n.sent = nil
		require.Equal(t, message.Answered, n.proxy.Serve(t.Context(), keyed(path, "a", key)).Outcome)
		return n.sent[0].Priority.Rank()
	}
	require.Greater(t, rank("/profile/1", "key-h"), rank("/order/1", "key-l"))
	require.Greater(t, rank("/order/1", "key-h"), rank("/profile/1", "key-h"))
	require.Greater(t, rank("/order/1", "key-l"), rank("/public/1", ""))
}

// Guards against credentials that reach a target from a node that has no configuration with organisations yet.
func TestCredentialsOfAnotherNodeDoNotReachTheTarget(t *testing.T) {
	n := newNode(t, 1)
	n.withOrganisations(t)
	var got http.Header
	n.proxy.AttachTarget("menu", "i-self", 1, admission.New(admission.Limits{Slots: 1, Connections: 1}), &slowTarget{
		onRequest: func(req *message.Request) { got = req.Header },
	})
	req := keyed("/menu/1", "a", "key-h")
	req.Service, req.Instance, req.OrganisationKey = "menu", "i-self", ""
	require.Equal(t, message.Answered, n.proxy.Deliver(t.Context(), req).Outcome)
	require.Empty(t, got)
}

// Guards against a request that ends its targets and is no longer told apart from those with other keys once its key is removed.
func TestFingerprintKeepsTheHashOfTheKey(t *testing.T) {
	one, two, none := request("/menu/1", "a"), request("/menu/1", "b"), request("/menu/1", "c")
	one.CredentialsHash, two.CredentialsHash = 1, 2
	prints := map[quarantine.Fingerprint]bool{}
	for _, req := range []*message.Request{one, two, none} {
		prints[quarantine.FingerprintOf(req)] = true
	}
	require.Len(t, prints, 3)
}
