package sidecar

import (
	"encoding/json"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/process/event"
	"github.com/wigeoncleat/wigeoncleat/internal/process/quarantine"
)

// Paths of the operators' commands, beside the metrics.
const (
	HeldPath    = "/quarantine"
	ReleasePath = "/quarantine/{fingerprint}/release"
)

// HeldList is the response to a request for HeldPath.
type HeldList struct {
	Held []quarantine.HeldRequest `json:"held"`
}

// addOperators adds the operators' commands to the metrics interface.
func (s *Sidecar) addOperators(mux *http.ServeMux) {
	mux.HandleFunc("GET "+HeldPath, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, HeldList{Held: s.quarantine.Held(time.Now())})
	})
	mux.HandleFunc("POST "+ReleasePath, s.releaseSuspect)
}

// releaseSuspect ends the suspicion of a request at all nodes. The metrics interface has no authentication, so the command is taken from
// programs on this VM only.
func (s *Sidecar) releaseSuspect(w http.ResponseWriter, r *http.Request) {
	from, _, err := net.SplitHostPort(r.RemoteAddr)
	if ip := net.ParseIP(from); err != nil || ip == nil || !ip.IsLoopback() && !ip.Equal(net.ParseIP(s.settings.IP)) {
		http.Error(w, "held requests can be released on the VM of the node only", http.StatusForbidden)
		return
	}
	fp, err := quarantine.ParseFingerprint(r.PathValue("fingerprint"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	released, ok := s.quarantine.Release(fp, time.Now())
	if !ok {
		http.Error(w, "this node knows no suspicion of request "+fp.String(), http.StatusNotFound)
		return
	}
	event.Log(s.log, event.SuspectReleased, slog.String("fingerprint", fp.String()), slog.String("from", from))
	s.suspectNews.add([]quarantine.Record{released})
	writeJSON(w, struct{}{})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the operator's connection has failed
}
