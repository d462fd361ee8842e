package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/connection/link"
	"github.com/wigeoncleat/wigeoncleat/internal/connection/wire"
	"github.com/wigeoncleat/wigeoncleat/internal/process/event"
	"github.com/wigeoncleat/wigeoncleat/internal/process/membership"
	"github.com/wigeoncleat/wigeoncleat/internal/version/policy"
	"github.com/wigeoncleat/wigeoncleat/internal/version/rollout"
)

// Names of the files in a policy bundle: the base file holds for all sites, and a site's overlay overrides parts of it. A
// site is a group of nodes with one policy; the settings of a node name its site.
const (
	BaseFile      = "base.ini"
	overlaySuffix = ".ini"
)

// OverlayFile returns the name of a site's overlay file in a bundle.
func OverlayFile(site string) string { return site + overlaySuffix }

// newRollout returns the runner that rolls out configuration versions, or nil without a platform.
func (n *Node) newRollout() *rollout.Runner {
	if n.opts.Table == nil {
		return nil
	}
	s := n.settings
	return rollout.NewRunner(rollout.Options{
		Address:   s.Node.PeerAddress,
		Zone:      s.Node.AvailabilityZone,
		Join:      s.Seeds, // contacted while no other nodes are known
		Transport: configTransport{n.pool},
		Table:     n.opts.Table,
		Objects:   n.opts.Objects,
		Members:   &memberView{members: n.members},
		Check:     CheckBundle,
		Apply:     n.applyBundle,
		Record:    n.changeAuditWrites,
		Logger:    n.log,
	})
}

// configTransport sends configuration messages over links to other nodes.
type configTransport struct{ pool *link.Pool }

func (t configTransport) Send(ctx context.Context, peer string, payload []byte) error {
	return t.pool.SendControl(ctx, peer, wire.ChannelConfig, payload)
}

// memberView tells the rollout the members and which of them are alive.
type memberView struct {
	members *membership.Runner

	mu         sync.Mutex
	snap       *membership.Snapshot // the snapshot that generation identifies
	generation uint64
}

// Members implements rollout.Members. Membership marks an unresponsive member as suspect only after several probes. A member
// that is not suspect is reported as alive now. The rollout then may wait longer than needed for a member that has failed,
// which can delay a change but never accept one too early.
func (v *memberView) Members(last uint64) ([]rollout.MemberInfo, uint64) {
	snap := v.members.Snapshot()
	v.mu.Lock()
	defer v.mu.Unlock()
	if snap != v.snap {
		v.snap = snap
		v.generation++
	}
	if v.generation == last {
		return nil, last
	}
	out := make([]rollout.MemberInfo, 0, len(snap.Members))
	for i := range snap.Members {
		m := &snap.Members[i]
		out = append(out, rollout.MemberInfo{
			Address: m.Address, Zone: m.Zone, Left: m.State == membership.Left,
			Alive: m.State != membership.Suspect && m.State != membership.Dead,
		})
	}
	return out, v.generation
}

// errInvalidBundle reports a bundle that lacks files of a policy or misnames an overlay.
var errInvalidBundle = errors.New("invalid policy bundle")

// CheckBundle decodes a bundle and validates the policy of every site in it.
func CheckBundle(body []byte) error {
	base, overlays, err := splitBundle(body)
	if err != nil {
		return err
	}
	if len(overlays) == 0 {
		return fmt.Errorf("%w: no overlay file", errInvalidBundle)
	}
	for _, overlay := range overlays {
		pol, _, err := policy.Load(base, overlay)
		if err != nil {
			return err
		}
		if OverlayFile(pol.Site) != overlay.Name {
			return fmt.Errorf("%w: %s is the overlay of site %q", errInvalidBundle, overlay.Name, pol.Site)
		}
	}
	return nil
}

// splitBundle decodes a bundle and returns its base file and its overlays.
func splitBundle(body []byte) (base policy.File, overlays []policy.File, err error) {
	bundle, err := rollout.DecodeBundle(body)
	if err != nil {
		return base, nil, err
	}
	for _, f := range bundle.Files {
		if f.Name == BaseFile {
			base = policy.File{Name: f.Name, Body: f.Body}
			continue
		}
		overlays = append(overlays, policy.File{Name: f.Name, Body: f.Body})
	}
	if base.Name == "" {
		return base, nil, fmt.Errorf("%w: no %s", errInvalidBundle, BaseFile)
	}
	return base, overlays, nil
}

// sitePolicy returns the policy of a site from a bundle. A site without an overlay gets the base file unchanged.
func sitePolicy(body []byte, site string) (*policy.Policy, error) {
	base, overlays, err := splitBundle(body)
	if err != nil {
		return nil, err
	}
	own := policy.File{Name: OverlayFile(site), Body: []byte("[site]\nname = " + site + "\n")}
	for _, f := range overlays {
		if f.Name == own.Name {
			own = f
		}
	}
	pol, _, err := policy.Load(base, own)
	return pol, err
}

// activeConfig is the configuration in force.
type activeConfig struct {
	version uint64
	body    []byte
}

// applyBundle applies an accepted version. A node has validated the bundle with CheckBundle before it was accepted, but the
// policy of this node's site may still be invalid, for example if the site has no overlay, which CheckBundle does not try.
// This node then takes no new work until a version that it can use.
func (n *Node) applyBundle(version uint64, body []byte) {
	pol, err := sitePolicy(body, n.settings.Node.Site)
	if err != nil {
		n.configUnusable.Store(true)
		event.Log(n.log, event.ConfigUnusable, slog.Uint64("version", version), slog.String("error", err.Error()))
		return
	}
	n.configUnusable.Store(false)
	n.Apply(pol.WithVersion(version))
	n.activeConfig.Store(&activeConfig{version: version, body: body})
}

// receiveConfig handles a configuration message from a peer.
func (n *Node) receiveConfig(peer string, payload []byte) {
	if n.rollout == nil {
		return
	}
	if err := n.rollout.Receive(peer, payload); err != nil {
		event.Log(n.log, event.FrameInvalid, slog.String("peer", peer), slog.String("error", err.Error()))
	}
}

// confirmed reports whether the node may accept new requests under its configuration: it could apply the accepted version,
// and the rollout has recent evidence, from the platform or other nodes, that no newer one was accepted. A node that is cut
// off from both loses the confirmation after a time.
func (n *Node) confirmed() bool {
	if n.policy.Load() == nil || n.configUnusable.Load() {
		return false
	}
	return n.rollout == nil || n.rollout.Confirmed(time.Now())
}
