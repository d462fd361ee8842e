package metrics

import (
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
)

// Guards against requests that are counted under the attributes of others, which are kept between requests.
func TestRequestsAreCountedByTheirOwnAttributes(t *testing.T) {
	m, err := New(func() Gauges { return Gauges{} }, nil)
	require.NoError(t, err)
	for range 2 {
		m.Request("caller", &message.Response{Outcome: message.Answered}, time.Millisecond)
		m.Request("caller", message.Refuse(message.ReasonOverload, nil), time.Millisecond)
		m.Request("peer", message.Refuse(message.ReasonLeaving, nil), time.Millisecond)
	}
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	for _, series := range []string{
		`wigeoncleat_requests_total\{interface="caller",[^}]*outcome="answered",[^}]*reason="none"\} 2`,
		`wigeoncleat_requests_total\{interface="caller",[^}]*outcome="not-run",[^}]*reason="overload"\} 2`,
		`wigeoncleat_requests_total\{interface="peer",[^}]*outcome="not-run",[^}]*reason="leaving"\} 2`,
		`duration_seconds_count\{interface="caller",[^}]*\} 4`,
	} {
		require.Regexp(t, series, w.Body.String())
	}
}

// Guards against a number of series that grows with the organisations of all configurations.
func TestSeriesOfOrganisationsAreBounded(t *testing.T) {
	m, err := New(func() Gauges { return Gauges{} }, nil)
	require.NoError(t, err)
	for range 2 {
		for i := range 300 {
			m.Organisation("org-" + strconv.Itoa(i))
		}
	}
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	require.Equal(t, 100, strings.Count(w.Body.String(), "\nwigeoncleat_organisation_requests_total{"))
	require.Regexp(t, `requests_total\{organisation="org-0"[^}]*\} 2`, w.Body.String())
	require.Regexp(t, `requests_total\{organisation="other"[^}]*\} 402`, w.Body.String())
	require.NotContains(t, w.Body.String(), "confirmation_age", "no confirmation is needed")
}

// Guards against operators who cannot see what takes the memory and which connections were closed.
func TestMemoryGaugesAreExported(t *testing.T) {
	m, err := New(func() Gauges {
		return Gauges{Memory: MemoryGauges{
			Held: map[string]int64{"requests": 7}, Budget: 100, Waiting: 2, Refused: 3, Closed: map[string]int64{"memory": 4}, OldestUnread: 1.5,
		}}
	}, nil)
	require.NoError(t, err)
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	for _, series := range []string{
		`wigeoncleat_memory_held_bytes\{[^}]*purpose="requests"\} 7`, `wigeoncleat_memory_budget_bytes\{[^}]*\} 100`,
		`wigeoncleat_memory_waiting\{[^}]*\} 2`, `wigeoncleat_memory_refused\{[^}]*\} 3`,
		`wigeoncleat_connections_closed\{[^}]*reason="memory"\} 4`, `wigeoncleat_response_unread_seconds\{[^}]*\} 1.5`,
	} {
		require.Regexp(t, series, w.Body.String())
	}
}
