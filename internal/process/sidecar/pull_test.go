package sidecar

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a large configuration that crosses the links many times although every node gets it from its own feed, and
// against a node whose feed has gone silent and that never asks.
func TestConfigurationIsPulledOnceAndOnlyWithoutAFeed(t *testing.T) {
	var p puller
	now := time.Unix(1000, 0)
	p.observe(now, 4, 4, "a")
	require.False(t, p.due(now, 4))
	require.Zero(t, p.wait(now, 4))
	p.observe(now, 4, 8, "a")
	require.False(t, p.due(now, 4), "the feed may bring it in a moment")
	require.Equal(t, pullDelay, p.wait(now, 4))
	now = now.Add(pullDelay)
	require.True(t, p.due(now, 4))
	p.observe(now, 4, 8, "b")
	require.False(t, p.due(now.Add(time.Millisecond), 4), "another node was asked just now")
	require.True(t, p.due(now.Add(pullRetryInterval), 4), "the node that was asked has not answered")
	require.False(t, p.due(now.Add(2*pullRetryInterval), 8))
	require.Less(t, pullDelay+pullRetryInterval, 2*time.Second, "the operators' bound for a configuration")
}

// Guards against a node that starts while the store is away and waits for a feed that cannot come.
func TestNodeWithoutConfigurationAsksAtOnce(t *testing.T) {
	var p puller
	p.observe(time.Unix(1000, 0), 0, 8, "a")
	require.True(t, p.due(time.Unix(1000, 0), 0))
}

// Guards against a peer whose message unpacks to more memory than the process has.
func TestUnpackIsBounded(t *testing.T) {
	_, err := decompress([]byte("no deflate"))
	require.Error(t, err)
	body, err := decompress(nil)
	require.Error(t, err)
	require.Empty(t, bytes.TrimSpace(body))
}
