package node

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/version/rollout"
)

// commandTimeout is how long an operator's command waits for the definite result of a change.
const commandTimeout = 30 * time.Second

// SubmitRequest is the request body of POST /config/changes.
type SubmitRequest struct {
	rollout.Change
	Files []rollout.File `json:"files"`
}

// CommandResponse is the response body of POST /config/changes and GET /config/changes/{id}, and of admin requests that
// fail. Error is set if the change has no definite result yet or the request failed.
type CommandResponse struct {
	Result rollout.Result `json:"result"`
	Error  string         `json:"error,omitempty"`
}

// CurrentResponse is the response body of GET /config: the configuration in force at the node.
type CurrentResponse struct {
	Version uint64         `json:"version"`
	Hash    string         `json:"hash,omitempty"` // of the version's body
	Files   []rollout.File `json:"files"`
}

// configRoutes registers the admin paths for configuration and for the audit trail. Without a platform only GET /config
// exists.
func (n *Node) configRoutes(mux *http.ServeMux) {
	mux.HandleFunc("GET /config", n.serveCurrent)
	if n.rollout == nil {
		return
	}
	mux.HandleFunc("GET /audit", n.serveAudit)
	mux.HandleFunc("POST /config/changes", n.serveSubmit)
	mux.HandleFunc("GET /config/changes/{id}", func(w http.ResponseWriter, r *http.Request) {
		runCommand(w, r, func(ctx context.Context) (rollout.Result, error) { return n.rollout.Status(ctx, r.PathValue("id")) })
	})
}

func (n *Node) serveCurrent(w http.ResponseWriter, _ *http.Request) {
	var resp CurrentResponse
	if c := n.activeConfig.Load(); c != nil {
		bundle, err := rollout.DecodeBundle(c.body)
		if err != nil {
			writeJSON(w, http.StatusInternalServerError, CommandResponse{Error: err.Error()})
			return
		}
		resp = CurrentResponse{Version: c.version, Hash: rollout.Hash(c.body), Files: bundle.Files}
	}
	writeJSON(w, http.StatusOK, resp)
}

func (n *Node) serveSubmit(w http.ResponseWriter, r *http.Request) {
	var req SubmitRequest
	if err := json.NewDecoder(io.LimitReader(r.Body, 2*rollout.MaxBundleBytes)).Decode(&req); err != nil {
		writeJSON(w, http.StatusBadRequest, CommandResponse{Error: err.Error()})
		return
	}
	body, err := rollout.Bundle{Files: req.Files}.Encode()
	if err != nil {
		writeJSON(w, http.StatusBadRequest, CommandResponse{Error: err.Error()})
		return
	}
	req.Body = body
	runCommand(w, r, func(ctx context.Context) (rollout.Result, error) { return n.rollout.Submit(ctx, req.Change) })
}

// runCommand runs an operator's command and writes its result, with status 200 if the change has a definite result, 202 if
// it has none yet and 400 if it cannot be submitted.
func runCommand(w http.ResponseWriter, r *http.Request, run func(ctx context.Context) (rollout.Result, error)) {
	ctx, cancel := context.WithTimeout(r.Context(), commandTimeout)
	defer cancel()
	result, err := run(ctx)
	resp := CommandResponse{Result: result}
	status := http.StatusOK
	if err != nil {
		resp.Error = err.Error()
		status = http.StatusAccepted
		if errors.Is(err, rollout.ErrChange) {
			status = http.StatusBadRequest
		}
	}
	writeJSON(w, status, resp)
}
