package client

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
	"github.com/wigeoncleat/wigeoncleat/internal/standin/rawserver"
)

// Guards against a malformed response that is taken for the answer of a node.
func TestMalformedResponseHasAnUnknownOutcome(t *testing.T) {
	for name, text := range rawserver.Malformed(message.HeaderOutcome + ": " + message.Answered.String() + "\r\n") {
		t.Run(name, func(t *testing.T) {
			s := rawserver.Start(rawserver.Respond(text))
			t.Cleanup(s.Close)
			c, err := New(Options{Zones: []Zone{{Addresses: []string{s.Address()}}}, Attempts: 1})
			require.NoError(t, err)
			resp, err := c.Do(t.Context(), Request{Method: http.MethodGet, Path: "/orders"})
			var failed *UnknownError
			require.ErrorAs(t, err, &failed, "%+v", resp)
			require.NotEqual(t, message.ReasonDeadline.String(), failed.Reason)
		})
	}
}
