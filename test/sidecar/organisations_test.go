package sidecar

import (
	"fmt"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wigeoncleat/wigeoncleat/platform/standin"
)

// sendWithKey sends a menu read with a key and returns the status.
func sendWithKey(v *vm, attempt, key string) int {
	return standin.SendWithKey(httpClient, at(v.ip, portCallers), "site.example", attempt, "/menu/1", "", key, callerTimeout).Status
}

// eventually waits until all nodes answer requests with the key by the status.
func (s *site) eventually(limit time.Duration, key string, status int) {
	s.t.Helper()
	for _, v := range s.vms {
		var last int
		require.Eventually(s.t, func() bool {
			last = sendWithKey(v, fmt.Sprintf("e-%d", time.Now().UnixNano()), key)
			return last == status
		}, limit, 50*time.Millisecond, "node %s answers %d instead of %d", v.ip, last, status)
	}
}

// Guards against keys that reach a target or a log, against targets that do not learn the organisation of a run and of its calls, and
// against withdrawn keys that are accepted by real processes: after a change, by one that was frozen, and without the store.
func TestKeysOfOrganisations(t *testing.T) {
	s := newSiteOf(t, 4, map[string]string{"acme": "secret-one", "bolt": "secret-two"})
	s.eventually(10*time.Second, "secret-one", 200)
	for i, v := range s.vms {
		require.Equal(t, 200, sendWithKey(v, fmt.Sprintf("known-%d", i), "secret-one"))
		require.Equal(t, 401, sendWithKey(v, "unknown", "secret-other"))
		require.Equal(t, 401, sendWithKey(v, "missing", ""))
		require.Equal(t, 503, sendWithKey(v, "gone.1", ""), "a call whose run has ended")
	}

	s.organisations = map[string]string{"bolt": "secret-two"}
	s.putConfiguration()
	s.eventually(2500*time.Millisecond, "secret-one", 401)
	s.eventually(time.Second, "secret-two", 200)

	frozen := s.vms[1]
	frozen.signal(syscall.SIGSTOP, false)
	s.organisations = map[string]string{"acme": "secret-three"}
	s.putConfiguration()
	time.Sleep(6 * time.Second)
	frozen.signal(syscall.SIGCONT, false)
	for i := range 10 {
		require.Contains(t, []int{401, 503}, sendWithKey(frozen, fmt.Sprintf("late-%d", i), "secret-two"))
	}
	s.eventually(10*time.Second, "secret-three", 200)

	s.storeProxy.SetFault(standin.ResetOnConnect)
	s.storeProxy.ResetConnections()
	s.eventually(15*time.Second, "secret-three", 503)
	require.Equal(t, 200, send(s.vms[0].ip, "public", fmt.Sprintf("/v%d/x", s.version.Load()), "").Status)
	s.storeProxy.SetFault(standin.Pass)
	s.eventually(10*time.Second, "secret-three", 200)

	runs, calls := 0, 0
	for _, v := range s.vms {
		target := v.currentTarget()
		require.Zero(t, target.Credentials())
		for attempt, organisation := range target.Organisations() {
			if strings.HasPrefix(attempt, "known-") {
				require.Equal(t, "acme", organisation, attempt)
				runs++
				if strings.Contains(attempt, ".") {
					calls++
				}
			}
			require.False(t, strings.HasPrefix(attempt, "late-"), "a request with a withdrawn key has run")
		}
		text, err := os.ReadFile(v.log.Name())
		require.NoError(t, err)
		require.NotContains(t, string(text), "secret-")
	}
	require.Equal(t, 3*len(s.vms), runs)
	require.Equal(t, 2*len(s.vms), calls)
}
