package message

import (
	"github.com/cespare/xxhash/v2"
)

// Priority orders requests for shedding. The high byte is the rank of the request's class, which the policy assigns to each
// route; the low byte is a stable hash of the root request's ID. A request keeps the same priority on its whole call chain, so
// that all hops shed the same requests and no hop wastes the work of the hops before it. Requests with higher values are shed
// later.
type Priority uint16

// MaxRank is the highest class rank.
const MaxRank = 255

const hashBits = 8

// NewPriority returns the priority of the request with the given ID in a class of the given rank.
func NewPriority(rank uint8, id ID) Priority {
	return Priority(rank)<<hashBits | Priority(xxhash.Sum64(id[:])&(1<<hashBits-1))
}

// Rank returns the class rank.
func (p Priority) Rank() uint8 {
	return uint8(p >> hashBits)
}

// TopOfRank returns the highest priority of the same rank.
func (p Priority) TopOfRank() Priority {
	return p | (1<<hashBits - 1)
}
