package node

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/process/balance"
	"github.com/wigeoncleat/wigeoncleat/internal/process/event"
	"github.com/wigeoncleat/wigeoncleat/internal/process/membership"
	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
)

const (
	// maxAnnouncementBytes is the maximum size of the body of an announcement.
	maxAnnouncementBytes = 4 << 10
	// leasePollInterval is the interval at which the lease of the target's announcement is checked.
	leasePollInterval = 100 * time.Millisecond
)

// announcement is the body of a target's announcement.
type announcement struct {
	Service string `json:"service"`
	Address string `json:"address"`
	Slots   int    `json:"slots"`
	State   string `json:"state"`
	Lease   int64  `json:"lease"` // milliseconds
}

var targetStates = map[string]membership.State{
	"starting": membership.Starting,
	"ready":    membership.Ready,
	"draining": membership.Draining,
}

// targetHandler returns the handler of the target interface: announcements of the own target and its requests to other
// services.
func (n *Node) targetHandler() http.Handler {
	requests := n.requestHandler("target", n.engine.ServeFromTarget)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == announcePath {
			n.serveAnnouncement(w, r)
			return
		}
		requests.ServeHTTP(w, r)
	})
}

func (n *Node) serveAnnouncement(w http.ResponseWriter, r *http.Request) {
	if err := n.announce(r); err != nil {
		n.refuse(w, r, message.NewID(), invalidRequest("%v", err))
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// announce validates and applies an announcement of the target.
func (n *Node) announce(r *http.Request) error {
	if r.Method != http.MethodPost {
		return fmt.Errorf("%s needs POST", announcePath)
	}
	var a announcement
	if err := json.NewDecoder(io.LimitReader(r.Body, maxAnnouncementBytes)).Decode(&a); err != nil {
		return fmt.Errorf("announcement: %w", err)
	}
	if a.Service != n.settings.Target.Service {
		return fmt.Errorf("announcement: service %q, but the settings name %q", a.Service, n.settings.Target.Service)
	}
	state, ok := targetStates[a.State]
	if !ok {
		return fmt.Errorf("announcement: unknown state %q", a.State)
	}
	lease := time.Duration(a.Lease) * time.Millisecond
	lease = min(max(lease, n.settings.Target.LeaseMin), n.settings.Target.LeaseMax)
	err := n.announcements.Announce(time.Now(), membership.Announcement{
		Target: membership.Target{Service: a.Service, Slots: a.Slots, State: state},
		Lease:  lease,
	})
	if err != nil {
		return fmt.Errorf("announcement: %w", err)
	}
	if n.settings.Target.Address == "" {
		n.target.address.Store(&a.Address)
	}
	n.applyTargetState()
	return nil
}

// applyTargetState updates admission and the balancers to the target's last announcement, or to its lapse.
func (n *Node) applyTargetState() {
	t, lapsed := n.announcements.Current(time.Now())
	if int64(t.Slots) != n.announcedSlots.Swap(int64(t.Slots)) {
		n.updateAdmissionLimits()
	}
	ready := t.State == membership.Ready
	if n.targetReady.Swap(ready) == ready {
		return
	}
	if ready {
		n.admission.StartRamp()
	}
	if !lapsed { // membership logs lapses
		event.Log(n.log, event.TargetAnnounced, slog.String("service", t.Service), slog.String("state", t.State.String()),
			slog.Int("slots", t.Slots))
	}
	n.updateBalancers()
}

// pollTargetLease calls applyTargetState periodically, to detect that the lease of the target's announcement has ended.
func (n *Node) pollTargetLease(ctx context.Context) {
	for sleep(ctx, leasePollInterval) {
		n.applyTargetState()
	}
}

// updateBalancers passes the ready targets of the members and the own target to the balancers.
func (n *Node) updateBalancers() { n.balancers.Refresh(n.readyTargets) }

func (n *Node) readyTargets() map[string][]balance.Target {
	targets := map[string][]balance.Target{}
	for service, members := range n.members.Snapshot().Services {
		for i := range members {
			m := &members[i]
			if m.Stated != membership.Ready { // what the member stated itself; State may say that others suspect it
				continue
			}
			// Born, unlike the member's Incarnation, changes only when another process runs at the address.
			targets[service] = append(targets[service],
				balance.Target{Address: m.Address, Incarnation: m.Born, Zone: m.Zone, Slots: m.Slots})
		}
	}
	if n.targetReady.Load() && !n.leaving.Load() {
		service := n.settings.Target.Service
		targets[service] = append(targets[service], balance.Target{
			Address: n.settings.Node.PeerAddress, Incarnation: n.incarnation,
			Zone: n.settings.Node.AvailabilityZone, Slots: int(n.announcedSlots.Load()),
		})
	}
	return targets
}
