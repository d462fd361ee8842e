package quota

import "github.com/cespare/xxhash/v2"

// Message is what two nodes exchange: a report of a child to its parent, or the reply to it.
type Message struct {
	Report *Report `cbor:"1,keyasint,omitempty"`
	Reply  *Reply  `cbor:"2,keyasint,omitempty"`
}

// Report states what a node and the nodes below it have admitted.
type Report struct {
	Seq     uint64  `cbor:"1,keyasint"`
	Nodes   int     `cbor:"2,keyasint"`           // this node and those below it; zero: the sender now reports to another node
	Known   int     `cbor:"5,keyasint,omitempty"` // nodes that the sender knows of
	Full    bool    `cbor:"3,keyasint,omitempty"` // organisations that are not listed have admitted nothing; false: they are unchanged
	Entries []Usage `cbor:"4,keyasint,omitempty"`
}

// Usage is one organisation in a report.
type Usage struct {
	_      struct{} `cbor:",toarray"`
	ID     uint32   // hash of the name
	Used   uint32   // requests admitted within the window, in units of 1/usageScale
	Demand uint32   // requests that arrived within demandSpan
}

// Reply answers a report, or replaces the earlier answer to it.
type Reply struct {
	Seq    uint64  `cbor:"1,keyasint"`           // of the report
	Resend bool    `cbor:"2,keyasint,omitempty"` // the parent does not know earlier reports of the child
	Closed []Grant `cbor:"3,keyasint,omitempty"` // organisations near their limit; all others have the open grant
}

// Grant is one organisation in a reply.
type Grant struct {
	_      struct{} `cbor:",toarray"`
	ID     uint32
	Amount uint32 // requests that may be admitted from the report on, in units of 1/usageScale
	Level  uint32 // part of the limit that is used in the whole tree, in units of 1/usageScale
}

// usageScale is the number of units in one request. Parts of requests are needed where a share of the limit is below one.
const usageScale = 16

// maxUnits bounds a decoded figure, in units. It is far above what a deployment can serve in one window.
const maxUnits = 1 << 28

func idOf(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// encodeUnits rounds up: usage must not be understated.
func encodeUnits(v float64) uint32 {
	if v <= 0 {
		return 0
	}
	u := v * usageScale
	if u >= maxUnits {
		return maxUnits
	}
	n := uint32(u)
	if float64(n) < u {
		n++
	}
	return n
}

// encodeGrant rounds down: grants must not exceed what is left.
func encodeGrant(v float64) uint32 { return uint32(min(max(v, 0)*usageScale, maxUnits)) }

func decodeUnits(n uint32) float64 { return float64(min(n, maxUnits)) / usageScale }
