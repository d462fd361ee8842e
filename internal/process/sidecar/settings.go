package sidecar

import (
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/process/mesh"
)

// Settings say where the process runs and what bounds it. They are read when the process starts.
type Settings struct {
	Node   string // name of the VM, for logs
	IP     string
	Zone   string // availability zone
	Region string

	Service       string // of the target beside the node
	TargetAddress string

	PeerAddress      string // for other nodes, as it is announced to them
	PeerListen       string // address to listen on for other nodes behind a forwarder; empty: PeerAddress
	CallerAddress    string // for callers and the target on this VM
	ReadinessAddress string
	ReportAddress    string // for the reports of the target

	StoreURL    string
	MemoryBytes int64 // of the process
	Descriptors int

	Grace             time.Duration    // from SIGTERM to SIGKILL
	HeartbeatInterval time.Duration    // between two reports of the target
	Retries           mesh.RetryBounds // zero: not stated
	RetryBurst        float64          // retries of all nodes for one service in a window, beyond their share of the requests
}
