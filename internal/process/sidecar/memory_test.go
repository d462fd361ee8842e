package sidecar

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/wigeoncleat/wigeoncleat/internal/request/memory"
)

// Guards against shares that together exceed the memory of a VM, and against a body within the operator's limits that a node without
// other work cannot take.
func TestSharesFitTheMemory(t *testing.T) {
	const mib = 1 << 20
	for _, limit := range []int64{48 * mib, 64 * mib, 184 * mib, 284 * mib, 536 * mib} {
		require.Less(t, budgetBytes(limit)+ownMemory/2, CollectorLimit(limit), "%d", limit)
		require.LessOrEqual(t, CollectorLimit(limit)+programBytes, limit, "%d", limit)
	}
	for _, p := range []memory.Purpose{memory.Requests, memory.Forwarded, memory.Responses} {
		res := memory.NewBudget(budgetBytes(184 * mib)).NewReservation(p)
		body, err := res.ReadAll(bytes.NewReader(make([]byte, 64*mib)), 64*mib, 64*mib)
		require.NoError(t, err)
		require.Len(t, body, 64*mib)
	}
}
