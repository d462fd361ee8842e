package main

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/wigeoncleat/wigeoncleat/internal/standin/rawserver"
)

// Guards against commands that report the contents of a malformed response as the state of a node.
func TestMalformedResponseFailsTheCommand(t *testing.T) {
	for name, text := range rawserver.Malformed("Content-Type: application/json\r\n") {
		t.Run(name, func(t *testing.T) {
			s := rawserver.Start(rawserver.Respond(text))
			t.Cleanup(s.Close)
			for _, command := range []string{"status", "quarantine list"} {
				var out, errs bytes.Buffer
				args := append(strings.Fields("wigeonctl "+command), "--timeout=3s", "--node="+s.Address())
				code := run(t.Context(), args, &out, &errs)
				require.Equal(t, exitFailed, code, "%s: %s", command, out.String())
			}
		})
	}
}
