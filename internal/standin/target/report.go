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

// Execution records one execution of a request.
type Execution struct {
	RequestID string    `json:"request_id"`
	Key       string    `json:"key,omitempty"`
	Method    string    `json:"method"`
	Path      string    `json:"path"`
	BodyHash  string    `json:"body_sha256"`
	Start     time.Time `json:"start"`
	End       time.Time `json:"end,omitzero"` // zero while the execution runs
	Completed bool      `json:"completed"`    // false while it runs, and after it was cancelled or failed
	Declined  bool      `json:"declined"`     // ended without effects, as the target declared in its response
}

// executionLog holds every execution. It is not bounded, because a target of a test or experiment runs only for minutes.
type executionLog struct {
	mu   sync.Mutex
	all  []Execution
	file *os.File // receives each execution when it begins, and again if it is declined; may be nil
}

// begin adds an execution and returns the function that records its end.
func (r *executionLog) begin(e Execution) func(completed, declined bool) {
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

// write appends a line to the file. It panics if that fails, because a record with gaps would hide executions.
func (r *executionLog) write(e Execution) {
	if r.file == nil {
		return
	}
	if err := json.NewEncoder(r.file).Encode(e); err != nil {
		panic(fmt.Sprintf("record of executions: %v", err))
	}
}

func (r *executionLog) list() []Execution {
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
		// A failed announcement is retried after the interval, which by default is shorter than the lease.
		_ = t.announce(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (t *Target) announce(ctx context.Context) error {
	// Announcements are sent one at a time: otherwise one with an outdated state could arrive after a newer one.
	t.announceMu.Lock()
	defer t.announceMu.Unlock()
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

// Report is the response body of the health and load endpoints.
type Report struct {
	State   State `json:"state"`
	Running int   `json:"running"`
	Waiting int   `json:"waiting"`
	Slots   int   `json:"slots"`
}

// reportHistory holds past reports, so that the endpoints can return outdated ones.
type reportHistory struct {
	mu   sync.Mutex
	past []timedReport // oldest first
}

type timedReport struct {
	sampledAt time.Time
	Report
}

const reportInterval = 50 * time.Millisecond

func (t *Target) currentReport() Report {
	return Report{State: t.State(), Running: t.Running(), Waiting: int(t.waiting.Load()), Slots: t.opts.Slots}
}

// sampleReports records reports until ctx ends. It keeps those of the last ReportLag and the newest older one.
func (t *Target) sampleReports(ctx context.Context) {
	if t.opts.ReportLag == 0 {
		return
	}
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		r := timedReport{sampledAt: time.Now(), Report: t.currentReport()}
		t.reportHistory.mu.Lock()
		t.reportHistory.past = append(t.reportHistory.past, r)
		for len(t.reportHistory.past) > 1 && r.sampledAt.Sub(t.reportHistory.past[1].sampledAt) >= t.opts.ReportLag {
			t.reportHistory.past = t.reportHistory.past[1:]
		}
		t.reportHistory.mu.Unlock()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// publishedReport returns the report of the endpoints: outdated with ReportLag, false with ReportIdle.
func (t *Target) publishedReport() Report {
	if t.opts.ReportIdle {
		return Report{State: Ready, Slots: t.opts.Slots}
	}
	t.reportHistory.mu.Lock()
	defer t.reportHistory.mu.Unlock()
	if t.opts.ReportLag == 0 || len(t.reportHistory.past) == 0 {
		return t.currentReport()
	}
	return t.reportHistory.past[0].Report
}

func (t *Target) serveHealth(w http.ResponseWriter, _ *http.Request) {
	r := t.publishedReport()
	status := http.StatusOK
	if r.State != Ready {
		status = http.StatusServiceUnavailable
	}
	writeJSON(w, status, r)
}

func (t *Target) serveLoad(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, t.publishedReport())
}
