package main

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against output without the cause of a failure or the nodes whose logs are missing, and against an exit code of 0 when
// no log line of the request was found.
func TestExplainPrintsCauseAndMissingLogs(t *testing.T) {
	file := filepath.Join(t.TempDir(), "vm-a.log")
	require.NoError(t, os.WriteFile(file, []byte(`{"time":"2026-12-04T08:00:03Z","msg":"request refused, not run","event":800,"id":"r2",`+
		`"service":"menu","reason":"overload","step":"admit","peer":"10.0.0.2:8300","detail":"not admitted: overload"}`+"\n"), 0o600))
	var out, errs bytes.Buffer
	require.Equal(t, exitOK, run(t.Context(), []string{"wigeonctl", "explain", "r2", file}, &out, &errs), errs.String())
	require.Contains(t, out.String(), "cause: r2: overload at step admit (10.0.0.2:8300)")
	require.Contains(t, out.String(), "missing: the lines of the node at 10.0.0.2:8300")

	for _, args := range [][]string{{"explain", "r2"}, {"explain", "other", file}, {"explain", "r2", file + ".none"}} {
		require.NotEqual(t, exitOK, run(t.Context(), append([]string{"wigeonctl"}, args...), &out, &errs))
	}
}
