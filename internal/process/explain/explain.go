// Package explain finds in the logs of nodes what became of one request: its own lines and those of the calls that were made for
// it, as a tree, the cause of its end, and the nodes whose lines are missing.
//
// Values of this package are not synchronised.
package explain

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/process/event"
)

// Line is a line of a log that concerns the request.
type Line struct {
	Time    time.Time `json:"time"`
	Event   int       `json:"event"`
	Message string    `json:"msg"`
	ID      string    `json:"id"`
	Node    string    `json:"node"` // whose log holds the line

	Service          string `json:"service,omitempty"`
	Hop              int    `json:"hop,omitempty"`
	Version          uint64 `json:"version,omitempty"`
	Status           int    `json:"status,omitempty"`
	TookMS           int64  `json:"took_ms,omitempty"`
	LeftMS           int64  `json:"left_ms,omitempty"`
	Reason           string `json:"reason,omitempty"`
	Step             string `json:"step,omitempty"`
	Peer             string `json:"peer,omitempty"`
	Detail           string `json:"detail,omitempty"`
	DownstreamFailed bool   `json:"below_failed,omitempty"`
	Outcome          string `json:"outcome,omitempty"`
	Tried            string `json:"tried,omitempty"`
}

// Request is a request with the calls that were made for it.
type Request struct {
	ID    string     `json:"id"`
	Lines []Line     `json:"lines"`
	Calls []*Request `json:"calls,omitempty"`
}

// Report says what became of a request.
type Report struct {
	Root    *Request `json:"request"`
	Cause   string   `json:"cause"`
	Missing []string `json:"missing,omitempty"` // peer addresses that lines name and whose own log was not given
}

// maxLine bounds a line of a log, in bytes. Longer ones are no lines of a node.
const maxLine = 1 << 20

// Reader collects the lines of one request from any number of logs.
type Reader struct {
	id    string
	lines []Line
	nodes map[string]bool // peer addresses of nodes whose log was read
}

// NewReader returns a reader for the request with the ID.
func NewReader(id string) *Reader { return &Reader{id: id, nodes: map[string]bool{}} }

// Read reads a log. Lines that are not JSON are passed over. The name stands for the node until the log names it.
func (r *Reader) Read(name string, log io.Reader) error {
	s := bufio.NewScanner(log)
	s.Buffer(nil, maxLine)
	for s.Scan() {
		var start struct {
			Event   int    `json:"event"`
			Node    string `json:"node"`
			Address string `json:"peer_address"`
		}
		var line Line
		b := s.Bytes()
		if json.Unmarshal(b, &start) != nil || json.Unmarshal(b, &line) != nil {
			continue
		}
		if start.Event == event.ProcessStarted.Number {
			r.nodes[start.Address] = true
			if start.Node != "" {
				name = start.Node
			}
			continue
		}
		if line.ID == r.id || strings.HasPrefix(line.ID, r.id+".") {
			line.Node = name
			r.lines = append(r.lines, line)
		}
	}
	if err := s.Err(); err != nil {
		return fmt.Errorf("read log of %s: %w", name, err)
	}
	return nil
}

// Report returns what the logs say. It reports false if no line names the request.
func (r *Reader) Report() (*Report, bool) {
	if len(r.lines) == 0 {
		return nil, false
	}
	slices.SortStableFunc(r.lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	root := &Request{ID: r.id}
	known := map[string]*Request{r.id: root}
	for _, l := range r.lines {
		q := place(known, l.ID)
		q.Lines = append(q.Lines, l)
	}
	return &Report{Root: root, Cause: root.cause(), Missing: r.missing()}, true
}

// place returns the request with the ID below the root, with those between.
func place(known map[string]*Request, id string) *Request {
	if q, ok := known[id]; ok {
		return q
	}
	q := &Request{ID: id}
	known[id] = q
	parent := place(known, id[:strings.LastIndexByte(id, '.')])
	parent.Calls = append(parent.Calls, q)
	return q
}

// missing returns the nodes that lines name as peers and whose log was not read.
func (r *Reader) missing() []string {
	var out []string
	for _, l := range r.lines {
		for _, address := range []string{l.Peer, l.Tried} {
			if strings.Contains(address, ":") && !r.nodes[address] && !slices.Contains(out, address) {
				out = append(out, address)
			}
		}
	}
	slices.Sort(out)
	return out
}

// end returns the last line that says how the request ended, or nil.
func (q *Request) end() *Line {
	for i := len(q.Lines) - 1; i >= 0; i-- {
		switch q.Lines[i].Event {
		case event.RequestRefused.Number, event.RequestUnknown.Number, event.RequestFailed.Number, event.RequestSampled.Number:
			return &q.Lines[i]
		}
	}
	return nil
}

// failed reports whether the request did not end well.
func (q *Request) failed() bool {
	l := q.end()
	return l != nil && l.Event != event.RequestSampled.Number
}

// cause returns in one line why the request ended as it did: the end of the deepest call that failed, of the last one that did.
func (q *Request) cause() string {
	for i := len(q.Calls) - 1; i >= 0; i-- {
		if c := q.Calls[i]; c.failed() || c.end() == nil && len(c.Calls) > 0 {
			if text := c.cause(); text != "" {
				return text
			}
		}
	}
	l := q.end()
	switch {
	case l == nil:
		return ""
	case l.Event == event.RequestSampled.Number:
		return fmt.Sprintf("%s was answered with %d after %d ms", q.ID, l.Status, l.TookMS)
	case l.DownstreamFailed:
		return fmt.Sprintf("%s: the target answered %d because a call failed whose lines are missing", q.ID, l.Status)
	case l.Event == event.RequestFailed.Number:
		return fmt.Sprintf("%s: the target of %s answered %d by itself", q.ID, l.Service, l.Status)
	default:
		return fmt.Sprintf("%s: %s at step %s (%s): %s", q.ID, l.Reason, l.Step, l.Peer, l.Detail)
	}
}
