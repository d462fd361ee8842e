package sidecar

import (
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/process/mesh"
	"github.com/wigeoncleat/wigeoncleat/internal/process/pace"
	"github.com/wigeoncleat/wigeoncleat/internal/process/quota"
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
	// StallTime is the time after which a connection is closed whose caller takes nothing of a response; zero: the default.
	StallTime time.Duration

	Grace             time.Duration    // from SIGTERM to SIGKILL
	HeartbeatInterval time.Duration    // of the target's reports
	Retries           mesh.RetryBounds // zero: not set
	// RetryBurst is the number of retries to one service that all nodes together may make within Retries.Window in addition
	// to Retries.Ratio of the first attempts.
	RetryBurst float64
	Pace       pace.Settings // of the target after a start; zero: it uses all of its slots at once
	Revocation Revocation
	Quota      quota.Bounds // zero: quota.DefaultBounds
}

// Revocation is what operators require of the withdrawal of keys of organisations.
type Revocation struct {
	// Strict says that a request that is sent with a withdrawn key must not run if it is sent later than Limit after the store
	// acknowledged a configuration without the key, also at nodes that are cut off.
	Strict bool
	Limit  time.Duration
	// ConfigLimit is the time within which a configuration is in force everywhere.
	ConfigLimit time.Duration
}
