package membership

import "time"

// Config tunes a machine. The zero value of a field selects its default.
type Config struct {
	// ProbeInterval is the time between two probes. Shorter finds failures earlier and costs traffic in proportion.
	// Default 1 s.
	ProbeInterval time.Duration
	// ProbeTimeout is the time until relays are asked to probe; a probe has failed after three times as long. It must
	// exceed the round trip between regions. Default 500 ms.
	ProbeTimeout time.Duration
	// SuspicionTimeout is the time a suspect has to refute, as seen by the nodes that probe it. Others wait three times
	// as long, in case the nodes that probe it were lost as well. Default 4 s.
	SuspicionTimeout time.Duration
	// NoticeInterval is the time between two notices to a suspect. Default 1 s.
	NoticeInterval time.Duration
	// IsolationTimeout is the time without any message after which a node takes itself to be cut off and suspects
	// nobody. Default 4 s.
	IsolationTimeout time.Duration
	// PauseThreshold is the time between two ticks from which the process is taken to have been paused. It must be
	// longer than a slow garbage collection and shorter than the time in which peers declare a member dead. Default 2 s.
	PauseThreshold time.Duration
	// BatchDelay is the shortest time between two pushes of updates. Default 20 ms.
	BatchDelay time.Duration
	// SyncInterval is the time between two comparisons of views with a neighbour. Default 10 s.
	SyncInterval time.Duration
	// RedialInterval is the time between two attempts to reach a dead member. Default 30 s.
	RedialInterval time.Duration
	// JoinInterval is the time between two attempts to join. Default 1 s.
	JoinInterval time.Duration
	// BootstrapTimeout is the time after which a node that meets no peer counts itself as the only member. Default 10 s.
	BootstrapTimeout time.Duration
	// DeadRetention is how long dead and left members are remembered. It must exceed the longest partition that should
	// heal without help. Default 2 h.
	DeadRetention time.Duration
	// CountRetention is how long a dead member counts as a member that is out of reach. Default 1 h.
	CountRetention time.Duration
	// Successors and Shortcuts are the numbers of neighbours in the own availability zone that follow on the hash ring and
	// that are spread over the zone. Defaults 2 and 2.
	Successors, Shortcuts int
	// OtherZones and OtherRegions are the numbers of neighbours in other availability zones of the region and in other
	// regions. Defaults 1 and 1.
	OtherZones, OtherRegions int
	// Relays is the number of neighbours asked for an indirect probe. Default 3.
	Relays int
}

func orDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

func (c Config) withDefaults() Config {
	orDefault(&c.ProbeInterval, time.Second)
	orDefault(&c.ProbeTimeout, 500*time.Millisecond)
	orDefault(&c.SuspicionTimeout, 4*time.Second)
	orDefault(&c.NoticeInterval, time.Second)
	orDefault(&c.IsolationTimeout, 4*time.Second)
	orDefault(&c.PauseThreshold, 2*time.Second)
	orDefault(&c.BatchDelay, 20*time.Millisecond)
	orDefault(&c.SyncInterval, 10*time.Second)
	orDefault(&c.RedialInterval, 30*time.Second)
	orDefault(&c.JoinInterval, time.Second)
	orDefault(&c.BootstrapTimeout, 10*time.Second)
	orDefault(&c.DeadRetention, 2*time.Hour)
	orDefault(&c.CountRetention, time.Hour)
	orDefault(&c.Successors, 2)
	orDefault(&c.Shortcuts, 2)
	orDefault(&c.OtherZones, 1)
	orDefault(&c.OtherRegions, 1)
	orDefault(&c.Relays, 3)
	return c
}
