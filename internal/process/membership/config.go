package membership

import "time"

// Config tunes a machine. The zero value of a field selects its default.
type Config struct {
	// ProbeInterval is the time between two probes. A shorter one detects failures earlier and costs traffic in
	// proportion. Default 1 s.
	ProbeInterval time.Duration
	// ProbeTimeout is the time after which neighbours are asked for an indirect probe; a probe has failed after three
	// times this time-out. It must exceed the round trip between regions. Default 500 ms.
	ProbeTimeout time.Duration
	// SuspicionTimeout is the time that a suspect has to refute the suspicion. It applies to the nodes that probe the
	// suspect; the others wait three times as long, in case those nodes have failed as well. Default 4 s.
	SuspicionTimeout time.Duration
	// NoticeInterval is the time between two messages (KindNotice) that tell a suspect of the suspicion, so that it can
	// refute. Default 1 s.
	NoticeInterval time.Duration
	// IsolationTimeout is the time without any message after which a node considers itself isolated and suspects no
	// member. Default 4 s.
	IsolationTimeout time.Duration
	// PauseThreshold is the time without a tick or message from which the process is considered to have been paused,
	// for example because its VM was suspended. It must exceed a slow garbage collection and be below the time in which
	// peers declare a member dead. Default 2 s.
	PauseThreshold time.Duration
	// BatchDelay is the shortest time between two rounds of gossip to the neighbours. Default 20 ms.
	BatchDelay time.Duration
	// SyncInterval is the mean time between two comparisons of this node's view with a neighbour's. Default 10 s.
	SyncInterval time.Duration
	// RedialInterval is the mean time between two attempts to reach a dead member, or a seed that is not a member.
	// Default 30 s.
	RedialInterval time.Duration
	// JoinInterval is the time between two attempts to join. Default 1 s.
	JoinInterval time.Duration
	// BootstrapTimeout is the time after which a node that has reached no peer becomes active as the only member.
	// Default 10 s.
	BootstrapTimeout time.Duration
	// DeadRetention is how long the records of dead and left members are kept. It must exceed the longest partition
	// that should heal without an operator, because a node redials only seeds and dead members that it has a record of.
	// A node that was paused or isolated for half of this time discards its view and joins again. Default 2 h.
	DeadRetention time.Duration
	// CountRetention is how long a dead member is included in Count as dead. Default 1 h.
	CountRetention time.Duration
	// Successors and Shortcuts are the numbers of neighbours in the node's own availability zone: the next members on
	// the hash ring, and members chosen pseudo-randomly from the zone. Defaults 2 and 2.
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
