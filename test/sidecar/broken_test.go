package sidecar

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wigeoncleat/wigeoncleat/platform/standin"
)

// Guards against broken responses of a target that reach callers, at its node and through another one: malformed ones, and a part of a
// response whose connection is reset during an upload. Each costs its own request an answer that promises nothing, and no other request.
func TestBrokenResponsesReachNoCaller(t *testing.T) {
	s := newLimitedSite(t, 2, limits{memoryMB: defaultLimits.memoryMB, descriptors: defaultLimits.descriptors, bodyBytes: 16 << 20})
	v := s.vms[0]
	v.targetProxy.Close() // it would not pass on each reset
	v.stopTarget()
	target := &standin.Target{Service: v.service, Slots: 20}
	target.Start(listen(t, at(v.ip, portProxy)), at(v.ip, portProxy), at(v.ip, portControl), at(v.ip, portCallers))
	v.mu.Lock()
	v.target = target
	v.mu.Unlock()
	s.awaitServing()
	cases := standin.MalformedResponses()
	uploads := map[string]int{}
	for _, size := range []int{4 << 10, 64 << 10, 1 << 20, 8 << 20} {
		for _, delay := range []time.Duration{0, 20 * time.Millisecond} {
			name := fmt.Sprintf("%d bytes, reset after %v", size, delay)
			cases[name], uploads[name] = standin.CutResponse(delay), size
		}
	}
	for name, broken := range cases {
		for i, entry := range s.vms {
			attempt := fmt.Sprintf("broken-%s-%d", strings.Map(onlyLetters, name), i)
			target.Break(func() standin.BrokenResponse { return broken })
			r := send(entry.ip, attempt, "/order/x", "x"+strings.Repeat("u", uploads[name]))
			require.Equal(t, http.StatusBadGateway, r.Status, "%s at %s: %+v", name, entry.ip, r)
			require.Empty(t, r.Stamp)
			target.Break(nil)
			r = send(entry.ip, attempt+"-after", "/order/x", "x")
			require.Equal(t, http.StatusOK, r.Status, "after %s at %s: %+v", name, entry.ip, r)
		}
	}
}

func onlyLetters(r rune) rune {
	if 'a' <= r && r <= 'z' || '0' <= r && r <= '9' {
		return r
	}
	return -1
}
