// Package explain reconstructs from the logs of nodes what happened to one request: its log lines and those of its downstream
// calls as a tree, the cause of its result, and the nodes whose logs are missing.
//
// The types of this package are not safe for concurrent use.
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

// Line is a log line about the request or one of its calls.
type Line struct {
	Time    time.Time `json:"time"`
	Event   int       `json:"event"`
	Message string    `json:"msg"`
	ID      string    `json:"id"`
	Node    string    `json:"node"` // node whose log has the line

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

// Request is a request with the downstream calls that were made for it.
type Request struct {
	ID    string     `json:"id"`
	Lines []Line     `json:"lines"`
	Calls []*Request `json:"calls,omitempty"`
}

// Report describes what happened to a request.
type Report struct {
	Root    *Request `json:"request"`
	Cause   string   `json:"cause"`
	Missing []string `json:"missing,omitempty"` // peer addresses that appear in lines, of nodes whose log was not read
}

// maxLineLength is the length of the longest log line that Read accepts, in bytes. Nodes write shorter lines; Read returns an
// error for a longer one.
const maxLineLength = 1 << 20

// Reader collects the lines of one request from any number of logs.
type Reader struct {
	id    string
	lines []Line
	nodes map[string]bool // set of peer addresses of the nodes whose log was read
}

// NewReader returns a reader for the request with the given ID.
func NewReader(id string) *Reader { return &Reader{id: id, nodes: map[string]bool{}} }

// Read reads a log. It skips lines that are not JSON. Lines get the given name as that of their node, until a line about the
// start of the process states the name of the node.
func (r *Reader) Read(name string, log io.Reader) error {
	s := bufio.NewScanner(log)
	s.Buffer(nil, maxLineLength)
	for s.Scan() {
		var started struct {
			Event   int    `json:"event"`
			Node    string `json:"node"`
			Address string `json:"peer_address"`
		}
		var line Line
		b := s.Bytes()
		if json.Unmarshal(b, &started) != nil || json.Unmarshal(b, &line) != nil {
			continue
		}
		if started.Event == event.ProcessStarted.Number {
			r.nodes[started.Address] = true
			if started.Node != "" {
				name = started.Node
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

// Report returns the report of the request, or false if no line is about the request.
func (r *Reader) Report() (*Report, bool) {
	if len(r.lines) == 0 {
		return nil, false
	}
	slices.SortStableFunc(r.lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	root := &Request{ID: r.id}
	byID := map[string]*Request{r.id: root}
	for _, l := range r.lines {
		q := requestFor(byID, l.ID)
		q.Lines = append(q.Lines, l)
	}
	return &Report{Root: root, Cause: root.cause(), Missing: r.missingPeers()}, true
}

// requestFor returns the request with the ID. If it is not known yet, it is added to the tree with its missing ancestors.
func requestFor(byID map[string]*Request, id string) *Request {
	if q, ok := byID[id]; ok {
		return q
	}
	q := &Request{ID: id}
	byID[id] = q
	parent := requestFor(byID, id[:strings.LastIndexByte(id, '.')])
	parent.Calls = append(parent.Calls, q)
	return q
}

// missingPeers returns the peer addresses that appear in lines, of nodes whose log was not read.
func (r *Reader) missingPeers() []string {
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

// resultLine returns the last line that states the result of the request, or nil.
func (q *Request) resultLine() *Line {
	for i := len(q.Lines) - 1; i >= 0; i-- {
		switch q.Lines[i].Event {
		case event.RequestRefused.Number, event.RequestUnknown.Number, event.RequestFailed.Number, event.RequestSampled.Number:
			return &q.Lines[i]
		}
	}
	return nil
}

// failed reports whether the request is known to have ended without success.
func (q *Request) failed() bool {
	l := q.resultLine()
	return l != nil && l.Event != event.RequestSampled.Number
}

// cause describes in one line why the request ended as it did. It follows the last failed call at each level, also through
// calls whose own lines are missing, and describes the result of the deepest one.
func (q *Request) cause() string {
	for i := len(q.Calls) - 1; i >= 0; i-- {
		if c := q.Calls[i]; c.failed() || c.resultLine() == nil && len(c.Calls) > 0 {
			if text := c.cause(); text != "" {
				return text
			}
		}
	}
	l := q.resultLine()
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
