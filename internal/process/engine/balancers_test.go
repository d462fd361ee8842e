package engine

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/wigeoncleat/wigeoncleat/internal/process/balance"
	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
	"github.com/wigeoncleat/wigeoncleat/internal/version/policy"
)

// A target that refuses a request because it is leaving must get no more requests, even before membership reports that it
// leaves.
func TestTargetThatLeavesIsAvoided(t *testing.T) {
	b := NewBalancers("az1", policy.New().Balance)
	b.Update(map[string][]balance.Target{"menu": {
		{Address: "a", Incarnation: 1, Zone: "az1", Slots: 10},
		{Address: "b", Incarnation: 1, Zone: "az1", Slots: 10},
	}})
	picker, ok := b.Picker("menu")
	require.True(t, ok)
	_, done, ok := picker.Pick([]string{"b"})
	require.True(t, ok)
	done(0, message.Refuse(message.ReasonLeaving, nil))
	for range 50 {
		address, done, ok := picker.Pick(nil)
		require.True(t, ok)
		require.Equal(t, "b", address)
		done(0, &message.Response{Outcome: message.Answered, Status: 200})
	}
}
