package sidecar

import (
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a node that is ended by the signal to read its settings again because it has just started.
func TestReloadRightAfterTheStart(t *testing.T) {
	s := newSite(t, 2)
	v := s.vms[0]
	for range 30 {
		<-v.signal(syscall.SIGKILL, true)
		v.startNode()
		v.awaitSignalHandler()
		exited := v.signal(syscall.SIGHUP, false)
		select {
		case <-exited:
			require.Fail(t, "the node has ended")
		case <-time.After(50 * time.Millisecond):
		}
	}
}
