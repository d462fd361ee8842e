package sidecar

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a large configuration that is sent over the links many times although every node gets it from the feed of
// the store or from a follower, and against a node that gets it from neither, because a feed has silently broken, and never
// requests it.
func TestConfigurationIsPulledOnceAndOnlyWithoutAFeed(t *testing.T) {
	var p puller
	now := time.Unix(1000, 0)
	p.observe(now, 4, 4, "a")
	require.False(t, p.due(now, 4))
	require.Zero(t, p.wait(now, 4))
	p.observe(now, 4, 8, "a")
	require.False(t, p.due(now, 4), "the feed or a follower may deliver it in a moment")
	require.Equal(t, pullDelay, p.wait(now, 4))
	now = now.Add(pullDelay)
	require.True(t, p.due(now, 4))
	p.observe(now, 4, 8, "b")
	require.False(t, p.due(now.Add(time.Millisecond), 4), "it was requested from another node just now")
	require.True(t, p.due(now.Add(pullRetryInterval), 4), "the request was not answered")
	require.False(t, p.due(now.Add(2*pullRetryInterval), 8))
	require.Less(t, pullDelay+pullRetryInterval, 2*time.Second, "the operators' limit for the distribution of a configuration")
}

// Guards against a node that starts while the store is unavailable and waits for a feed that cannot work.
func TestNodeWithoutConfigurationAsksAtOnce(t *testing.T) {
	var p puller
	p.observe(time.Unix(1000, 0), 0, 8, "a")
	require.True(t, p.due(time.Unix(1000, 0), 0))
}

// Guards against a message of a peer that decompresses to more memory than the process has.
func TestDecompressionIsBounded(t *testing.T) {
	_, err := decompress([]byte("no deflate"))
	require.Error(t, err)
	body, err := decompress(nil)
	require.Error(t, err)
	require.Empty(t, bytes.TrimSpace(body))
}
