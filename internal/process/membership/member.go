package membership

import "strconv"

// State is the state of a member. Starting, Ready and Draining are what the member states about its local target.
type State uint8

// States of a member.
const (
	Joining  State = iota + 1 // the node runs and has not joined yet
	Starting                  // the node is a member; its target accepts no requests yet, or its Announcement lapsed
	Ready                     // the target accepts requests
	Draining                  // the target completes its requests and accepts no new ones
	Suspect                   // probes failed; the member can refute this
	Dead                      // the member did not refute the suspicion in time
	Left                      // the member left by its own statement
)

var stateNames = [...]string{"unknown", "joining", "starting", "ready", "draining", "suspect", "dead", "left"}

// String returns the name of the state.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "state " + strconv.Itoa(int(s))
}

// Live reports whether a member in this state may still be reachable. Suspect members are live.
func (s State) Live() bool { return s >= Joining && s <= Suspect }

// rank orders states at the same incarnation; the higher rank wins.
func (s State) rank() int {
	switch s {
	case Suspect:
		return 1
	case Dead:
		return 2
	case Left:
		return 3
	default:
		return 0
	}
}

// Member is what is known about one node.
type Member struct {
	Address     string // of the interface for other nodes (peer interface); identifies the member
	Caller      string // address of the interface for callers, which send requests (caller interface)
	Instance    uint64 // random number of the process; decides between processes that Born does not distinguish
	Incarnation uint64 // number of the member's last statement, initially its start in Unix milliseconds
	Born        uint64 // first incarnation of the process; smaller ones belong to processes that no longer run
	Meta        uint64 // incarnation at which a field other than the state last changed; tells if an Info is current
	Zone        string // availability zone
	Region      string
	Service     string // of the local target; empty while there is none
	Slots       int    // requests that the target runs at once
	State       State
	Stated      State // the member's own last statement, also while it is suspect or dead
}

// Owns reports whether the incarnation belongs to the process that runs at the address now.
func (m *Member) Owns(incarnation uint64) bool {
	return incarnation >= m.Born && incarnation <= m.Incarnation
}
