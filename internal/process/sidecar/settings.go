package sidecar

import (
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/process/mesh"
)

// Settings identify the node and set its bounds. They are read at the start; see Sidecar.reload for those that can
// change later.
type Settings struct {
	Node   string // name of the VM, for logs
	IP     string
	Zone   string // availability zone
	Region string

	Service       string // of the attached target
	TargetAddress string

	PeerAddress      string // for other nodes, as announced to them
	PeerListen       string // listen address if other nodes reach the node through a forwarder at PeerAddress; empty: PeerAddress
	CallerAddress    string // for callers and the target on this VM
	ReadinessAddress string
	ReportAddress    string // for the reports of the target

	StoreURL    string
	MemoryBytes int64 // memory limit of the process
	Descriptors int   // limit on open files

	Grace             time.Duration    // from SIGTERM to SIGKILL
	HeartbeatInterval time.Duration    // of the target's reports
	Retries           mesh.RetryBounds // zero: not set
	// RetryBurst is the number of retries to one service that all nodes together may make within Retries.Window in addition
	// to Retries.Ratio of the first attempts.
	RetryBurst float64
}
