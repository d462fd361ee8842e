// Package platformserver serves the in-memory platform over HTTP in the wire format of docs/platform.md. Faults are set at
// PathFaults. It replaces the platform in tests and experiments and is never part of the node's binary.
//
// A Server is safe for concurrent use.
package platformserver

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/process/platform"
	"github.com/wigeoncleat/wigeoncleat/internal/standin/memory"
)

// Paths of the control interface, which the real platform does not have.
const (
	PathFaults = "/-/faults" // GET and PUT of Faults
	PathCounts = "/-/counts" // GET of memory.Counts
	// PathRestore restores the platform from a copy whose age is the query parameter ParamAge, for example "9s" (PUT).
	PathRestore = "/-/restore"
	ParamAge    = "age"
)

// Faults are the injected faults. The zero value injects none.
type Faults struct {
	Down       bool   `json:"down"`        // every call is rejected with status 503
	Hang       bool   `json:"hang"`        // no call gets a response, and writes do not take effect
	HangAnswer bool   `json:"hang_answer"` // writes take effect, but get no response until the client disconnects
	LoseAnswer bool   `json:"lose_answer"` // writes take effect, then the connection is closed without a response
	Truncate   bool   `json:"truncate"`    // calls take effect, but responses end after half of their body
	Status     int    `json:"status"`      // writes take effect, but the response has this status
	Delay      string `json:"delay"`       // added to every call, for example "50ms"
}

// maxBody bounds request bodies.
const maxBody = 16 << 20

// Server is an http.Handler that serves a memory.Platform.
type Server struct {
	platform *memory.Platform
	faults   atomic.Pointer[Faults]
	mux      *http.ServeMux
}

// New returns a server for the platform.
func New(p *memory.Platform) *Server {
	s := &Server{platform: p, mux: http.NewServeMux()}
	s.faults.Store(&Faults{})
	s.mux.HandleFunc("GET "+platform.PathRow, s.getRow)
	s.mux.HandleFunc("PUT "+platform.PathRow, s.putRow)
	s.mux.HandleFunc("GET "+platform.PathRows, s.listRows)
	s.mux.HandleFunc("POST "+platform.PathTransaction, s.commit)
	s.mux.HandleFunc("GET "+platform.PathObjects+"{hash}", s.getObject)
	s.mux.HandleFunc("PUT "+platform.PathObjects+"{hash}", s.putObject)
	s.mux.HandleFunc("GET "+PathFaults, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.faults.Load()) })
	s.mux.HandleFunc("PUT "+PathFaults, s.putFaults)
	s.mux.HandleFunc("PUT "+PathRestore, s.restore)
	s.mux.HandleFunc("GET "+PathCounts, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Counts()) })
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(platform.HeaderEpoch, strconv.FormatUint(uint64(s.platform.Epoch()), 10))
	s.mux.ServeHTTP(w, r)
}

func (s *Server) restore(w http.ResponseWriter, r *http.Request) {
	age, err := time.ParseDuration(r.URL.Query().Get(ParamAge))
	if err != nil || age < 0 {
		http.Error(w, "the age is not a duration", http.StatusBadRequest)
		return
	}
	s.platform.Restore(age)
	w.WriteHeader(http.StatusNoContent)
}

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) error {
	var delay time.Duration
	if f.Delay != "" {
		var err error
		if delay, err = time.ParseDuration(f.Delay); err != nil || delay < 0 {
			return fmt.Errorf("delay %q is not a duration", f.Delay)
		}
	}
	if f.Status != 0 && (f.Status < 300 || f.Status > 599) {
		return fmt.Errorf("status %d is not between 300 and 599", f.Status)
	}
	s.faults.Store(&f)
	s.platform.SetFaults(memory.Faults{Down: f.Down, Hang: f.Hang, Delay: delay})
	return nil
}

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody))
	d.DisallowUnknownFields()
	err := d.Decode(&f)
	if err == nil {
		err = s.SetFaults(f)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writeJSON(w, f)
}

func (s *Server) getRow(w http.ResponseWriter, r *http.Request) {
	row, err := s.platform.Get(r.Context(), r.URL.Query().Get(platform.ParamKey))
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("ETag", platform.ETag(row.Version.Text))
	s.respond(w, row.Value)
}

func (s *Server) putRow(w http.ResponseWriter, r *http.Request) {
	cond, err := s.parseCondition(r.Header)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	body, ok := readBody(w, r)
	if !ok {
		return
	}
	version, err := s.platform.Put(r.Context(), r.URL.Query().Get(platform.ParamKey), body, cond)
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("ETag", platform.ETag(version.Text))
	s.respondWrite(w, r, []byte("{}"))
}

// version returns the version with a text in the present epoch. Like the real platform, the server does not know in which epoch
// a client has read it.
func (s *Server) version(text string) platform.Version {
	if text == "" {
		return platform.Version{}
	}
	return platform.Version{Epoch: s.platform.Epoch(), Text: text}
}

// parseCondition reads the condition of a write from its headers.
func (s *Server) parseCondition(h http.Header) (platform.Condition, error) {
	match, noneMatch := h.Get("If-Match"), h.Get("If-None-Match")
	switch {
	case match != "" && noneMatch != "":
		return platform.Condition{}, errors.New("If-Match and If-None-Match exclude each other")
	case noneMatch == "*":
		return platform.Condition{Absent: true}, nil
	case noneMatch != "":
		return platform.Condition{}, errors.New("If-None-Match accepts * only")
	case match == "":
		return platform.Condition{}, nil
	}
	version, ok := platform.ParseETag(match)
	if !ok {
		return platform.Condition{}, errors.New("If-Match needs one strong ETag")
	}
	return platform.Condition{Version: s.version(version)}, nil
}

func (s *Server) listRows(w http.ResponseWriter, r *http.Request) {
	limit, err := strconv.Atoi(r.URL.Query().Get(platform.ParamLimit))
	if err != nil || limit < 0 {
		http.Error(w, "limit is not a number", http.StatusBadRequest)
		return
	}
	rows, err := s.platform.List(r.Context(), r.URL.Query().Get(platform.ParamPrefix), limit)
	if err != nil {
		writeError(w, err)
		return
	}
	wire := make([]platform.WireRow, 0, len(rows))
	for _, row := range rows {
		wire = append(wire, platform.WireRow{Key: row.Key, Value: row.Value, Version: row.Version.Text})
	}
	s.respond(w, mustMarshal(wire))
}

func (s *Server) commit(w http.ResponseWriter, r *http.Request) {
	body, ok := readBody(w, r)
	if !ok {
		return
	}
	var tx platform.WireTransaction
	if err := json.Unmarshal(body, &tx); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writes := make([]platform.Write, 0, len(tx.Writes))
	for _, x := range tx.Writes {
		writes = append(writes, platform.Write{Key: x.Key, Value: x.Value, Cond: platform.Condition{Absent: x.Absent, Version: s.version(x.Version)}})
	}
	versions, err := s.platform.Commit(r.Context(), writes)
	if err != nil {
		writeError(w, err)
		return
	}
	var out platform.WireVersions
	for _, v := range versions {
		out.Versions = append(out.Versions, v.Text)
	}
	s.respondWrite(w, r, mustMarshal(out))
}

func (s *Server) getObject(w http.ResponseWriter, r *http.Request) {
	body, err := s.platform.Objects().Get(r.Context(), r.PathValue("hash"))
	if err != nil {
		writeError(w, err)
		return
	}
	s.respond(w, body)
}

func (s *Server) putObject(w http.ResponseWriter, r *http.Request) {
	body, ok := readBody(w, r)
	if !ok {
		return
	}
	if platform.Hash(body) != r.PathValue("hash") {
		http.Error(w, "the body does not match the hash", http.StatusUnprocessableEntity)
		return
	}
	if _, err := s.platform.Objects().Put(r.Context(), body); err != nil {
		writeError(w, err)
		return
	}
	s.respondWrite(w, r, []byte("{}"))
}

// respondWrite responds to a write that took effect, and applies the faults of responses.
func (s *Server) respondWrite(w http.ResponseWriter, r *http.Request, body []byte) {
	f := s.faults.Load()
	switch {
	case f.LoseAnswer:
		panic(http.ErrAbortHandler) // closes the connection
	case f.HangAnswer:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case f.Status != 0:
		w.Header().Del("ETag")
		http.Error(w, "fault", f.Status)
	default:
		s.respond(w, body)
	}
}

func (s *Server) respond(w http.ResponseWriter, body []byte) {
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if s.faults.Load().Truncate {
		_, _ = w.Write(body[:len(body)/2])
		if f, ok := w.(http.Flusher); ok {
			f.Flush()
		}
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body) // an error means that the client has disconnected
}

// writeError responds to a call that did not take effect.
func writeError(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, platform.ErrNotFound):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errors.Is(err, platform.ErrConflict):
		http.Error(w, err.Error(), http.StatusPreconditionFailed)
	case errors.Is(err, platform.ErrUnavailable):
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		panic(http.ErrAbortHandler) // the client disconnected during a hang or delay
	}
}

func readBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
	case err != nil:
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return body, err == nil
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(mustMarshal(v))
}

// mustMarshal returns the JSON encoding of a value. It panics on an error, which no value of this package causes.
func mustMarshal(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}
