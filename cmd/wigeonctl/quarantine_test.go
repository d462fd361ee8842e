package main

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against commands that do not speak the paths of the node, that print less than what an operator needs to judge a hold, and that
// exit with 0 after bad input or a refusal.
func TestQuarantineCommands(t *testing.T) {
	const fp = "00112233445566778899aabbccddeeff"
	mux := http.NewServeMux()
	mux.HandleFunc("GET /quarantine", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write([]byte(`{"held":[{"fingerprint":"` + fp + `","ends":6,"last_end_s":3,"trials":1,"crashed_trials":1,"next_trial_s":7,"forgotten_in_s":86397}]}`))
	})
	mux.HandleFunc("POST /quarantine/"+fp+"/release", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write([]byte("{}"))
	})
	server := httptest.NewServer(mux)
	defer server.Close()
	node := "--node=" + strings.TrimPrefix(server.URL, "http://")
	command := func(args ...string) (string, int) {
		var out, errs bytes.Buffer
		code := run(t.Context(), append([]string{"wigeonctl"}, args...), &out, &errs)
		return out.String(), code
	}
	out, code := command("quarantine", "list", node)
	require.Equal(t, exitOK, code)
	for _, part := range []string{fp, "6 targets", "3 s ago", "1 trials", "next trial in 7 s", "forgotten in 86397 s"} {
		require.Contains(t, out, part)
	}
	out, code = command("--json", "quarantine", "release", node, fp)
	require.Equal(t, exitOK, code)
	require.JSONEq(t, `{"released":"`+fp+`"}`, out)
	_, code = command("quarantine", "release", node, "ff"+fp[2:])
	require.Equal(t, exitFailed, code, "the node knows no such request")
	_, code = command("quarantine", "release", node, "zz")
	require.Equal(t, exitUsage, code)
	_, code = command("quarantine", "other")
	require.NotEqual(t, exitOK, code)
}
