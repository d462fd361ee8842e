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

// commandTimeout bounds the wait of an operator's command for the definite result of a change.
const commandTimeout = 30 * time.Second

// SubmitRequest is the body of a submit.
type SubmitRequest struct {
	rollout.Change
	Files []rollout.File `json:"files"`
}

// CommandResponse is the response of submit and change status. Error is set if the change is not settled.
type CommandResponse struct {
	Result rollout.Result `json:"result"`
	Error  string         `json:"error,omitempty"`
}

// CurrentResponse is the configuration in force at the node.
type CurrentResponse struct {
	Version uint64         `json:"version"`
	Files   []rollout.File `json:"files"`
}

// configRoutes adds the paths of configuration commands to the admin interface.
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
		resp = CurrentResponse{Version: c.version, Files: bundle.Files}
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

// runCommand runs an operator's runCommand and writes its result: 200 if the change is settled, 202 if it is not, 400 if it
// cannot be submitted.
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
