package responsecheck

import (
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a Transport that checks encrypted bytes, or that waits for the body of a response to HEAD.
func TestTransportReusesItsConnections(t *testing.T) {
	for _, start := range []func(http.Handler) *httptest.Server{httptest.NewServer, httptest.NewTLSServer} {
		var peers sync.Map
		s := start(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			peers.Store(r.RemoteAddr, true)
			_, _ = io.WriteString(w, "whole")
		}))
		t.Cleanup(s.Close)
		client := &http.Client{Transport: NewTransport(s.Client().Transport.(*http.Transport).Clone())}
		for _, method := range []string{http.MethodHead, http.MethodGet, http.MethodHead, http.MethodPost} {
			r, err := http.NewRequestWithContext(t.Context(), method, s.URL, nil)
			require.NoError(t, err)
			resp, err := client.Do(r)
			require.NoError(t, err)
			body, err := io.ReadAll(resp.Body)
			require.NoError(t, err)
			require.NoError(t, resp.Body.Close())
			require.Equal(t, method != http.MethodHead, string(body) == "whole")
		}
		connections := 0
		peers.Range(func(_, _ any) bool { connections++; return true })
		require.Equal(t, 1, connections)
		client.CloseIdleConnections()
	}
}
