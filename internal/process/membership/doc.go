// Package membership implements gossip-based membership: it tells every node which other nodes exist, where they are
// and what state their targets are in. A target is the application process on a node's VM that serves requests. A
// node's view is the set of records that it holds of the members, and the nodes that share one membership form a
// cluster.
//
// Machine is a deterministic state machine: it takes messages and the current time and returns messages and events. It
// starts no goroutines, does no I/O and takes its random numbers from a seed, so that a test can replay any run. A
// Machine is not safe for concurrent use. Runner drives one machine in real time; all its methods are safe for
// concurrent use.
//
// Each node probes and updates a small set of neighbours, which depends only on the set of live members. A member's
// statements about itself are ordered by its incarnation, which it raises with every statement. At the same
// incarnation, suspect outranks a member's own statement, dead outranks suspect, and left outranks dead. Only the
// member itself raises its incarnation, so stale gossip cannot resurrect a dead member.
package membership
