// Package settings reads a node's settings file: the node's place in the deployment, its addresses, its target and how it
// reaches the platform. What operators change while nodes run belongs in the policy files instead.
//
// Settings are read once when the process starts and never change; they are safe for concurrent use.
package settings

import (
	"errors"
	"fmt"
	"log/slog"
	"net/netip"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/version/schema"
)

// ErrRejected reports that the settings file has findings of severity error.
var ErrRejected = errors.New("settings rejected")

// Settings are the settings of one node.
type Settings struct {
	Node     Node
	Target   Target
	Seeds    []string // peer addresses of other nodes
	Platform Platform
	Link     Link
	Drain    Drain
	LogLevel slog.Level
	Policy   PolicyFiles
}

// Node says where the node runs and listens.
type Node struct {
	Site                   string
	Region                 string
	AvailabilityZone       string
	CallerAddress          string
	PeerAddress            string
	TargetInterfaceAddress string // loopback; for calls and announcements of the local target
	AdminAddress           string
}

// Target describes the local target of the node.
type Target struct {
	Service  string
	Address  string
	LeaseMin time.Duration // limits of the lease of an announcement
	LeaseMax time.Duration
}

// Platform says how the node reaches the platform. Without a platform both URLs are empty.
type Platform struct {
	TableURL   string
	ObjectsURL string
	Timeout    time.Duration // of one call
}

// Link configures the links to other nodes.
type Link struct {
	HeartbeatInterval time.Duration
	HeartbeatTimeout  time.Duration
	IdleTimeout       time.Duration
	MaxLinks          int
}

// Drain bounds the duration of a graceful stop.
type Drain struct {
	Limit time.Duration
}

// PolicyFiles names the policy files of a trial without a platform. With a platform both are empty.
type PolicyFiles struct {
	Base    string
	Overlay string
}

// Load reads a settings file. With findings of severity error it returns an error that wraps ErrRejected.
func Load(file schema.File) (*Settings, []schema.Finding, error) {
	values, findings := Schema().Resolve(file)
	if !schema.HasErrors(findings) {
		findings = append(findings, check(values, file.Name)...)
	}
	for _, f := range findings {
		if f.Severity == schema.Error {
			return nil, findings, fmt.Errorf("%w: %s", ErrRejected, f)
		}
	}
	s, err := newSettings(values)
	return s, findings, err
}

func newSettings(v *schema.Values) (*Settings, error) {
	node, target, platform, link := v.Section("node"), v.Section("target"), v.Section("platform"), v.Section("link")
	s := &Settings{
		Node: Node{
			Site:                   node.Get("site").Text,
			Region:                 node.Get("region").Text,
			AvailabilityZone:       node.Get("availability_zone").Text,
			CallerAddress:          node.Get("caller_address").Text,
			PeerAddress:            node.Get("peer_address").Text,
			TargetInterfaceAddress: node.Get("target_interface_address").Text,
			AdminAddress:           node.Get("admin_address").Text,
		},
		Target: Target{
			Service:  target.Get("service").Text,
			Address:  target.Get("address").Text,
			LeaseMin: target.Get("lease_min").Duration,
			LeaseMax: target.Get("lease_max").Duration,
		},
		Seeds: v.Section("peers").Get("seeds").AddressList,
		Platform: Platform{
			TableURL:   platform.Get("table_url").Text,
			ObjectsURL: platform.Get("objects_url").Text,
			Timeout:    platform.Get("timeout").Duration,
		},
		Link: Link{
			HeartbeatInterval: link.Get("heartbeat_interval").Duration,
			HeartbeatTimeout:  link.Get("heartbeat_timeout").Duration,
			IdleTimeout:       link.Get("idle_timeout").Duration,
			MaxLinks:          int(link.Get("max_links").Int),
		},
		Drain:  Drain{Limit: v.Section("drain").Get("limit").Duration},
		Policy: PolicyFiles{Base: v.Section("policy").Get("base").Text, Overlay: v.Section("policy").Get("overlay").Text},
	}
	if err := s.LogLevel.UnmarshalText([]byte(v.Section("log").Get("level").Text)); err != nil {
		return nil, fmt.Errorf("log level: %w", err)
	}
	return s, nil
}

// check reports values that contradict each other.
func check(v *schema.Values, file string) []schema.Finding {
	var findings []schema.Finding
	report := func(g *schema.Group, key, format string, args ...any) {
		f := g.Finding(key, format, args...)
		if f.File == "" {
			f.File = file
		}
		findings = append(findings, f)
	}
	node, target, link := v.Section("node"), v.Section("target"), v.Section("link")
	if a := node.Get("target_interface_address").Text; !ipOf(a).IsLoopback() {
		report(node, "target_interface_address", "%s is not a loopback address", a)
	}
	if a := node.Get("peer_address").Text; ipOf(a).IsUnspecified() {
		report(node, "peer_address", "%s cannot be dialled by other nodes", a)
	}
	checkAddresses(node, target, report)
	if low, high := target.Get("lease_min"), target.Get("lease_max"); low.Duration > high.Duration {
		report(target, "lease_max", "%s is shorter than lease_min %s (%s)", high.Text, low.Text, low.Origin)
	}
	if i, t := link.Get("heartbeat_interval"), link.Get("heartbeat_timeout"); t.Duration < 2*i.Duration {
		report(link, "heartbeat_timeout", "%s is shorter than twice heartbeat_interval %s (%s)", t.Text, i.Text, i.Origin)
	}
	checkPolicySource(v, report)
	return findings
}

// checkAddresses reports interfaces of the node that cannot listen at the same time because their addresses overlap, and a
// target whose address is one of the node's own.
func checkAddresses(node, target *schema.Group, report func(g *schema.Group, key, format string, args ...any)) {
	keys := []string{"caller_address", "peer_address", "target_interface_address", "admin_address"}
	for i, key := range keys {
		a := netip.MustParseAddrPort(node.Get(key).Text)
		for _, other := range keys[:i] {
			if addressesOverlap(a, netip.MustParseAddrPort(node.Get(other).Text)) {
				report(node, key, "%s is in use by %s", a, other)
			}
		}
		if t := target.Get("address"); addressesOverlap(a, netip.MustParseAddrPort(t.Text)) {
			report(target, "address", "%s is the node's %s", t.Text, key)
		}
	}
}

// addressesOverlap reports whether two addresses have the same port, and the same IP address or an unspecified one, which
// stands for all addresses of the VM. Port 0 never overlaps, because it selects a free port.
func addressesOverlap(a, b netip.AddrPort) bool {
	if a.Port() != b.Port() || a.Port() == 0 {
		return false
	}
	return a.Addr() == b.Addr() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified()
}

// checkPolicySource requires exactly one source of the policy: the platform or, in a trial, files.
func checkPolicySource(v *schema.Values, report func(g *schema.Group, key, format string, args ...any)) {
	platform, policy := v.Section("platform"), v.Section("policy")
	table, objects := platform.Get("table_url").Set, platform.Get("objects_url").Set
	base, overlay := policy.Get("base").Set, policy.Get("overlay").Set
	switch {
	case table != objects:
		report(platform, "", "table_url and objects_url are needed together")
	case base != overlay:
		report(policy, "", "base and overlay are needed together")
	case table && base:
		report(policy, "", "a node with a platform takes its policy from there")
	case !table && !base:
		report(platform, "", "neither a platform nor policy files are set")
	}
}

func ipOf(address string) netip.Addr {
	return netip.MustParseAddrPort(address).Addr()
}
