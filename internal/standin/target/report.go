package target

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"
)

// Execution is the record of one execution.
type Execution struct {
	RequestID string    `json:"request_id"`
	Key       string    `json:"key,omitempty"`
	Method    string    `json:"method"`
	Path      string    `json:"path"`
	BodyHash  string    `json:"body_sha256"`
	Start     time.Time `json:"start"`
	End       time.Time `json:"end,omitzero"` // zero while the execution runs
	Completed bool      `json:"completed"`    // false while it runs, and after it was cancelled or failed
	Declined  bool      `json:"declined"`     // it ended without effects, and the target declared so
}

// record holds every execution. It is not bounded: a target of a test or trial lives for minutes.
type record struct {
	mu   sync.Mutex
	all  []Execution
	file *os.File // gets each execution as it begins, and again if it is declined; may be nil
}

// begin adds an execution and returns the function that ends it.
func (r *record) begin(e Execution) func(completed, declined bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	i := len(r.all)
	r.all = append(r.all, e)
	r.write(e)
	return func(completed, declined bool) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.all[i].End = time.Now()
		r.all[i].Completed, r.all[i].Declined = completed, declined
		if declined {
			r.write(r.all[i])
		}
	}
}

// write adds a line to the file. One that cannot be written ends the process: a record with gaps would hide executions.
func (r *record) write(e Execution) {
	if r.file == nil {
		return
	}
	if err := json.NewEncoder(r.file).Encode(e); err != nil {
		panic(fmt.Sprintf("record of executions: %v", err))
	}
}

func (r *record) list() []Execution {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.all)
}

// Announcement is the body of POST /-/announce at the node.
type Announcement struct {
	Service     string `json:"service"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	State       State  `json:"state"`
	Lease       int64  `json:"lease"` // milliseconds
}

func (t *Target) announceLoop(ctx context.Context) {
	ticker := time.NewTicker(t.opts.AnnounceEvery)
	defer ticker.Stop()
	for {
		// A failed announcement is repeated after the interval, which is shorter than the lease.
		_ = t.announce(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (t *Target) announce(ctx context.Context) error {
	// One announcement at a time: otherwise one that was made before a change of state could arrive after the next.
	t.announcing.Lock()
	defer t.announcing.Unlock()
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	body, err := json.Marshal(Announcement{
		Service: t.opts.Service, Slots: t.opts.Slots, Connections: t.opts.Connections,
		State: t.State(), Lease: t.opts.Lease.Milliseconds(),
	})
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+t.opts.Node+"/-/announce", bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := t.client.Do(req)
	if err != nil {
		return fmt.Errorf("announce: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("announce: status %d", resp.StatusCode)
	}
	return nil
}

// Report is what the health and load endpoints say.
type Report struct {
	State   State `json:"state"`
	Running int   `json:"running"`
	Waiting int   `json:"waiting"`
	Slots   int   `json:"slots"`
}

// reports holds past reports, so that the endpoints can lag.
type reports struct {
	mu   sync.Mutex
	past []timedReport // in the order of their times
}

type timedReport struct {
	at time.Time
	Report
}

const reportEvery = 50 * time.Millisecond

func (t *Target) now() Report {
	return Report{State: t.State(), Running: t.Running(), Waiting: int(t.waiting.Load()), Slots: t.opts.Slots}
}

// report keeps the reports of the last ReportLag.
func (t *Target) report(ctx context.Context) {
	if t.opts.ReportLag == 0 {
		return
	}
	ticker := time.NewTicker(reportEvery)
	defer ticker.Stop()
	for {
		r := timedReport{at: time.Now(), Report: t.now()}
		t.reports.mu.Lock()
		t.reports.past = append(t.reports.past, r)
		for len(t.reports.past) > 1 && r.at.Sub(t.reports.past[1].at) >= t.opts.ReportLag {
			t.reports.past = t.reports.past[1:]
		}
		t.reports.mu.Unlock()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// reported returns what the endpoints say, which may be old or false.
func (t *Target) reported() Report {
	if t.opts.ReportIdle {
		return Report{State: Ready, Slots: t.opts.Slots}
	}
	t.reports.mu.Lock()
	defer t.reports.mu.Unlock()
	if t.opts.ReportLag == 0 || len(t.reports.past) == 0 {
		return t.now()
	}
	return t.reports.past[0].Report
}

func (t *Target) serveHealth(w http.ResponseWriter, _ *http.Request) {
	r := t.reported()
	status := http.StatusOK
	if r.State != Ready {
		status = http.StatusServiceUnavailable
	}
	writeJSON(w, status, r)
}

func (t *Target) serveLoad(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, t.reported())
}
