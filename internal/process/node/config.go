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

// Names of the files in a bundle.
const (
	BaseFile      = "base.ini"
	overlaySuffix = ".ini"
)

// OverlayFile returns the name of a site's overlay in a bundle.
func OverlayFile(site string) string { return site + overlaySuffix }

// newRollout returns the rollout of configuration versions, or nil without a platform.
func (n *Node) newRollout() *rollout.Runner {
	if n.opts.Table == nil {
		return nil
	}
	s := n.settings
	return rollout.NewRunner(rollout.Options{
		Address:   s.Node.PeerAddress,
		Zone:      s.Node.AvailabilityZone,
		Join:      s.Seeds,
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

// configTransport sends configuration messages over links.
type configTransport struct{ pool *link.Pool }

func (t configTransport) Send(ctx context.Context, peer string, payload []byte) error {
	return t.pool.SendControl(ctx, peer, wire.ChannelConfig, payload)
}

// memberView shows the rollout who the members are and which of them are alive.
type memberView struct {
	members *membership.Runner

	mu         sync.Mutex
	snap       *membership.Snapshot // that number stands for
	generation uint64
}

// Members implements rollout.Members. Membership reports a silent member as suspect after some probes, so a member that is
// not suspect counts as heard now; this can only delay a change, never accept one too early.
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

// errInvalidBundle reports a bundle that does not hold the files of a policy.
var errInvalidBundle = errors.New("bundle is no policy")

// CheckBundle checks every site's policy in an encoded bundle.
func CheckBundle(body []byte) error {
	base, overlays, err := splitBundle(body)
	if err != nil {
		return err
	}
	if len(overlays) == 0 {
		return fmt.Errorf("%w: no overlay", errInvalidBundle)
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

// splitBundle returns the base file and the overlays of a bundle.
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

// sitePolicy returns a site's policy from a bundle. A site without an overlay does not differ from the base file.
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

// applyBundle puts an accepted version in force. The bundle was checked before it was accepted.
func (n *Node) applyBundle(version uint64, body []byte) {
	pol, err := sitePolicy(body, n.settings.Node.Site)
	if err != nil {
		n.configUnusable.Store(true)
		event.Log(n.log, event.ConfigUnusable, slog.Uint64("version", version), slog.String("error", err.Error()))
		return
	}
	n.configUnusable.Store(false)
	n.Apply(pol.At(version))
	n.activeConfig.Store(&activeConfig{version: version, body: body})
}

// receiveConfig takes a configuration message of a peer.
func (n *Node) receiveConfig(peer string, payload []byte) {
	if n.rollout == nil {
		return
	}
	if err := n.rollout.Receive(peer, payload); err != nil {
		event.Log(n.log, event.FrameInvalid, slog.String("peer", peer), slog.String("error", err.Error()))
	}
}

// confirmed reports whether the node may take new work under its configuration.
func (n *Node) confirmed() bool {
	if n.policy.Load() == nil || n.configUnusable.Load() {
		return false
	}
	return n.rollout == nil || n.rollout.Confirmed(time.Now())
}
