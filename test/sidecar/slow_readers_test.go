package sidecar

import (
	"testing"
	"time"
)

// Guards against responses that fill the memory of the node beside the target because callers read them slowly.
func TestSlowReadersAtTheNodeOfTheTarget(t *testing.T) {
	s := newLimitedSite(t, 2, limits{memoryMB: 48, descriptors: 4100, bodyBytes: 1 << 20})
	c := newCrowd(t, s)
	c.join(300, at(s.vms[0].ip, portCallers), readSlowly(4<<20))
	c.watch(6 * time.Second)
}

// Guards against responses that wait in the queue of a slow link, or at the entry node, without being counted.
func TestSlowReadersAtASecondNode(t *testing.T) {
	s := newLimitedSite(t, 2, limits{memoryMB: 64, descriptors: 4100, bodyBytes: 1 << 20})
	s.vms[0].peerProxy.SetRate(4 << 20)
	c := newCrowd(t, s)
	c.join(60, at(s.vms[1].ip, portCallers), readSlowly(4<<20))
	c.watch(6 * time.Second)
}

// Guards against uploads and unread responses that each stay within their share and together exceed the memory.
func TestSlowReadersWithUploads(t *testing.T) {
	s := newLimitedSite(t, 2, limits{memoryMB: 64, descriptors: 4100, bodyBytes: 16 << 20})
	c := newCrowd(t, s)
	for _, v := range s.vms {
		c.join(20, at(v.ip, portCallers), readSlowly(4<<20))
		c.join(8, at(v.ip, portCallers), upload(8<<20))
	}
	c.watch(6 * time.Second)
}

// Guards against responses that are held without end for callers that have stopped reading.
func TestReadersThatStop(t *testing.T) {
	s := newLimitedSite(t, 2, limits{memoryMB: 48, descriptors: 4100, bodyBytes: 1 << 20})
	c := newCrowd(t, s)
	for _, v := range s.vms {
		c.join(200, at(v.ip, portCallers), stopReading(1, 4<<20, 0))
	}
	c.watch(6 * time.Second)
}

// Guards against pipelined requests whose responses pile up behind one that nobody reads.
func TestPipelinedConnectionThatNeverReads(t *testing.T) {
	s := newLimitedSite(t, 2, limits{memoryMB: 48, descriptors: 4100, bodyBytes: 1 << 20})
	c := newCrowd(t, s)
	c.join(24, at(s.vms[0].ip, portCallers), stopReading(64, 1<<20, 14<<10))
	c.watch(6 * time.Second)
}
