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
	// maxAnnouncementBytes bounds the body of an announcement, in bytes.
	maxAnnouncementBytes = 4 << 10
	// leasePollInterval is the time between two looks at the lease of the target's announcement.
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

// targetHandler serves the interface of the own target: its announcements and its calls of other services.
func (n *Node) targetHandler() http.Handler {
	requests := n.requestHandler("target", n.engine.ServeOwn)
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

// announce takes an announcement of the target.
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

// applyTargetState brings the node in line with what the target announced last.
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
	if !lapsed { // membership logs a lapse
		event.Log(n.log, event.TargetAnnounced, slog.String("service", t.Service), slog.String("state", t.State.String()),
			slog.Int("slots", t.Slots))
	}
	n.updateBalancers(n.members.Snapshot())
}

// pollTargetLease notices when the lease of the target's announcement ends.
func (n *Node) pollTargetLease(ctx context.Context) {
	for sleep(ctx, leasePollInterval) {
		n.applyTargetState()
	}
}

// updateBalancers gives the balancers the targets of a membership view and the own target.
func (n *Node) updateBalancers(snap *membership.Snapshot) {
	targets := map[string][]balance.Target{}
	for service, members := range snap.Services {
		for i := range members {
			m := &members[i]
			if m.Stated != membership.Ready {
				continue
			}
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
	n.balancersMu.Lock()
	defer n.balancersMu.Unlock()
	n.balancers.Update(targets)
}
