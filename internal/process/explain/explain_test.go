package explain

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const entryLog = `{"time":"2026-12-04T08:00:00Z","level":"INFO","msg":"process started","event":100,"node":"vm-a","peer_address":"10.0.0.1:8300"}
no JSON
{"time":"2026-12-04T08:00:03.5Z","level":"INFO","msg":"target answered with a failure","event":803,"id":"r1","service":"menu","status":500,"below_failed":true,"took_ms":500}
{"time":"2026-12-04T08:00:03Z","level":"WARN","msg":"request refused, not run","event":800,"id":"r2","service":"menu","reason":"overload","step":"shed","peer":"10.0.0.1:8300"}
`

const menuLog = `{"time":"2026-12-04T08:00:00Z","event":100,"msg":"process started","node":"vm-b","peer_address":"10.0.0.2:8300"}
{"time":"2026-12-04T08:00:03.2Z","event":804,"msg":"request answered","id":"r1.0","service":"ledger","status":200}
{"time":"2026-12-04T08:00:03.4Z","event":800,"msg":"request refused, not run","id":"r1.1.0","service":"profile","reason":"overload","step":"admit","peer":"10.0.0.9:8300","detail":"not admitted: overload"}
{"time":"2026-12-04T08:00:03.4Z","event":800,"msg":"request refused, not run","id":"r11","service":"profile","reason":"overload"}
`

// Guards against a report that names a request upstream of the cause, counts other requests as calls, or does not name a node
// whose log was not read.
func TestReportFindsTheDeepestCause(t *testing.T) {
	r := NewReader("r1")
	require.NoError(t, r.Read("b.log", strings.NewReader(menuLog)))
	require.NoError(t, r.Read("a.log", strings.NewReader(entryLog)))
	report, ok := r.Report()
	require.True(t, ok)
	require.Equal(t, "r1.1.0: overload at step admit (10.0.0.9:8300): not admitted: overload", report.Cause)
	require.Equal(t, []string{"10.0.0.9:8300"}, report.Missing)
	require.Equal(t, "vm-a", report.Root.Lines[0].Node)
	require.Len(t, report.Root.Calls, 2)
	require.Equal(t, "r1.1.0", report.Root.Calls[1].Calls[0].ID)
}

func TestReportSaysWhatIsMissing(t *testing.T) {
	r := NewReader("r1")
	require.NoError(t, r.Read("a.log", strings.NewReader(entryLog)))
	report, ok := r.Report()
	require.True(t, ok)
	require.Contains(t, report.Cause, "a call failed whose lines are missing")
	_, ok = NewReader("x").Report()
	require.False(t, ok)
}
