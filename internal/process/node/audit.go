package node

import (
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/process/audit"
	"github.com/wigeoncleat/wigeoncleat/internal/process/event"
	"github.com/wigeoncleat/wigeoncleat/internal/process/membership"
	"github.com/wigeoncleat/wigeoncleat/internal/process/platform"
	"github.com/wigeoncleat/wigeoncleat/internal/version/rollout"
)

const (
	defaultAuditLimit = 100
	maxAuditLimit     = 1000
)

// recordAudit adds an entry to the audit trail. Without a platform there is no trail, and the entry is dropped.
func (n *Node) recordAudit(e audit.Entry) {
	if n.auditTrail != nil {
		n.auditTrail.Add(e)
	}
}

// changeAuditWrites returns the write of the audit entry of a change, which is committed together with the result of the
// change.
func (n *Node) changeAuditWrites(r rollout.Result) []platform.Write {
	row, err := audit.Row(audit.ChangeEntry(n.settings.Node.PeerAddress, time.Now(), r))
	if err != nil {
		// A failure to encode the audit entry must not prevent the result from being written.
		event.Log(n.log, event.AuditEncodingFailed, slog.String("change", r.ID), slog.String("error", err.Error()))
		return nil
	}
	return []platform.Write{row}
}

// auditDrain adds an audit entry for a graceful stop of this node.
func (n *Node) auditDrain(actor string) {
	n.recordAudit(audit.Entry{Kind: audit.KindDrain, Actor: actor, Subject: n.settings.Node.PeerAddress})
}

var memberOutcomes = map[membership.EventKind]string{
	membership.MemberJoined:   "joined",
	membership.MemberReplaced: "replaced", // by another process at the same address, such as after a restart
	membership.MemberDied:     "died",
	membership.MemberLeft:     "left",
}

// auditMembers adds audit entries for membership changes in the own availability zone. All nodes observe a change, so only
// the live node with the lowest address in the zone records it. While the membership views of nodes differ, two nodes may
// record the same change.
func (n *Node) auditMembers(snap *membership.Snapshot, events []membership.Event) {
	own := n.settings.Node
	for i := range snap.Members {
		m := &snap.Members[i]
		if m.Zone == own.AvailabilityZone && m.State.Live() && m.Address < own.PeerAddress {
			return
		}
	}
	for i := range events {
		m := &events[i].Member
		outcome, ok := memberOutcomes[events[i].Kind]
		if !ok || m.Zone != own.AvailabilityZone {
			continue
		}
		n.recordAudit(audit.Entry{Kind: audit.KindMembership, Subject: m.Address, Outcome: outcome, Comment: m.Service})
	}
}

// AuditResponse is the response body of GET /audit on the admin interface.
type AuditResponse struct {
	Entries []audit.Entry `json:"entries"`
	// Buffered is the number of entries of this node that wait to be written to the platform, Dropped the number that it
	// lost since it started.
	Buffered int `json:"buffered"`
	Dropped  int `json:"dropped"`
}

func (n *Node) serveAudit(w http.ResponseWriter, r *http.Request) {
	limit := defaultAuditLimit
	if text := r.URL.Query().Get("limit"); text != "" {
		l, err := strconv.Atoi(text)
		if err != nil || l < 1 || l > maxAuditLimit {
			writeJSON(w, http.StatusBadRequest, CommandResponse{Error: "limit is not between 1 and 1000"})
			return
		}
		limit = l
	}
	entries, err := n.auditTrail.List(r.Context(), limit)
	if err != nil {
		writeJSON(w, http.StatusServiceUnavailable, CommandResponse{Error: err.Error()})
		return
	}
	stats := n.auditTrail.Stats()
	writeJSON(w, http.StatusOK, AuditResponse{Entries: entries, Buffered: stats.Buffered, Dropped: stats.Dropped})
}
