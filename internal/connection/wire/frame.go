// Package wire defines the frames that nodes exchange: one binary WebSocket message per frame, a type byte followed by
// the CBOR encoding of the frame's struct.
//
// All functions are safe for concurrent use.
package wire

import (
	"errors"
	"fmt"
	"net/http"

	"github.com/fxamacker/cbor/v2"
)

// ProtocolVersion is the version of the peer protocol. A node refuses links to and from nodes of another version.
const ProtocolVersion = 4

// Sizes of the peer protocol.
const (
	MaxPart  = 64 << 10  // bytes of a body in one frame
	MaxFrame = 256 << 10 // bytes of an encoded frame
)

// Errors that callers distinguish with errors.Is.
var (
	ErrTooLarge = errors.New("frame exceeds its size limit")
	ErrFrame    = errors.New("malformed frame")
)

// Type is the type byte of a frame.
type Type byte

// Types of frames.
const (
	TypeHello    Type = 1
	TypeRequest  Type = 2
	TypeBody     Type = 3
	TypeResponse Type = 4
	TypeCancel   Type = 5
	TypePing     Type = 6
	TypePong     Type = 7
	TypeGoAway   Type = 8
	TypeControl  Type = 9
	TypeAttach   Type = 10
	TypeGrant    Type = 11
)

// Channel names the receiver of a control frame inside a node.
type Channel uint8

// Channels of control frames.
const (
	ChannelGossip Channel = 1
	ChannelConfig Channel = 2
	ChannelView   Channel = 3 // by which sidecars synchronise their directories and the configuration
	// ChannelQuota carries the messages of package quota.
	ChannelQuota Channel = 4
	// ChannelFreshness carries questions and answers on whether a configuration is the newest one.
	ChannelFreshness Channel = 5
)

// Hello is the first frame in both directions.
type Hello struct {
	Version     uint16 `cbor:"1,keyasint"`
	Address     string `cbor:"2,keyasint"` // of the sender's peer interface
	Incarnation uint64 `cbor:"3,keyasint"` // start of the sender's process in Unix milliseconds; identifies the process
	Zone        string `cbor:"4,keyasint"` // availability zone
	Generation  uint64 `cbor:"5,keyasint"` // number of the link, assigned by the node that dialed it
	// Features are optional parts of the protocol that the sender understands, a bit each. A node of an earlier release states none.
	Features uint64 `cbor:"6,keyasint,omitempty"`
}

// FeatureGrant says that a node understands Grant. Bodies above MaxUnasked bytes are announced to it without a part.
const FeatureGrant uint64 = 1

// MaxUnasked is the size up to which a body is sent without a grant. Most bodies are smaller, and a grant takes a round trip.
const MaxUnasked = 16 << 10

// Request starts a request on a new stream. Its body may continue in Body frames. The fields have the meaning of
// those of message.Request; TimeLeft stands for its Deadline.
type Request struct {
	Stream     uint64      `cbor:"1,keyasint"`
	ID         [16]byte    `cbor:"2,keyasint"`
	Span       [8]byte     `cbor:"3,keyasint"`
	Hop        uint8       `cbor:"4,keyasint,omitempty"` // position in the call chain; 0 for the request of an outside caller
	Service    string      `cbor:"5,keyasint"`
	Method     string      `cbor:"6,keyasint"`
	Path       string      `cbor:"7,keyasint"`
	Header     http.Header `cbor:"8,keyasint,omitempty"`
	Priority   uint16      `cbor:"9,keyasint,omitempty"`
	Idempotent bool        `cbor:"10,keyasint,omitempty"`
	TimeLeft   uint64      `cbor:"11,keyasint"`           // microseconds
	Retries    int         `cbor:"12,keyasint,omitempty"` // that the receiving node may use itself or hand down
	Key        string      `cbor:"13,keyasint,omitempty"` // idempotency key; empty on idempotent routes
	Mode       uint8       `cbor:"14,keyasint,omitempty"` // message.Mode: run the request, or act as home node of its key
	BodySize   uint64      `cbor:"15,keyasint,omitempty"` // bytes of the whole body
	Part       []byte      `cbor:"16,keyasint,omitempty"` // first part of the body

	// Fields of requests that the transparent proxy (package mesh) forwards; empty otherwise.

	Host     string `cbor:"17,keyasint,omitempty"` // authority that the caller addressed
	Attempt  string `cbor:"18,keyasint,omitempty"` // ID that the caller chose for its attempt
	Instance string `cbor:"19,keyasint,omitempty"` // ID of the target process that may run the request
	Caller   string `cbor:"20,keyasint,omitempty"` // service of the VM on which the request originated
	// RateLimit is the limit on requests per second that the sender has learned of the target; zero: none.
	RateLimit float64 `cbor:"21,keyasint,omitempty"`
	// Organisation is the name of the organisation for which the request is made. Nodes never send keys of organisations.
	Organisation string `cbor:"22,keyasint,omitempty"`
	// CredentialsHash tells the credentials of requests apart that no longer contain them.
	CredentialsHash uint64 `cbor:"23,keyasint,omitempty"`
}

// Body carries a further part of the body of a request or response.
type Body struct {
	Stream uint64 `cbor:"1,keyasint"`
	Offset uint64 `cbor:"2,keyasint"` // bytes before this part
	Part   []byte `cbor:"3,keyasint"`
}

// Threshold is a service's shedding threshold: the lowest priority that the service currently admits.
type Threshold struct {
	_        struct{} `cbor:",toarray"`
	Service  string
	Priority uint16
}

// Response is the response on a stream, or its first frame if further parts of the body follow. The fields have the
// meaning of those of message.Response and of its Err and Load.
type Response struct {
	Stream           uint64      `cbor:"1,keyasint"`
	ID               [16]byte    `cbor:"2,keyasint"`
	Outcome          uint8       `cbor:"3,keyasint"`
	Reason           uint8       `cbor:"4,keyasint,omitempty"`
	Status           int         `cbor:"5,keyasint,omitempty"`
	Header           http.Header `cbor:"6,keyasint,omitempty"`
	ErrStep          string      `cbor:"7,keyasint,omitempty"` // message.Step that failed; empty if there is no error
	ErrPeer          string      `cbor:"8,keyasint,omitempty"`
	ErrDetail        string      `cbor:"9,keyasint,omitempty"`
	RetryAfter       uint64      `cbor:"10,keyasint,omitempty"` // milliseconds
	RetriesLeft      int         `cbor:"11,keyasint,omitempty"`
	Thresholds       []Threshold `cbor:"12,keyasint,omitempty"`
	InFlight         int         `cbor:"13,keyasint,omitempty"` // requests running at the node's target or queued for it
	Limit            int         `cbor:"14,keyasint,omitempty"` // current limit on InFlight
	BodySize         uint64      `cbor:"15,keyasint,omitempty"` // bytes of the whole body
	Part             []byte      `cbor:"16,keyasint,omitempty"` // first part of the body
	DownstreamFailed bool        `cbor:"17,keyasint,omitempty"` // a call made for the request was refused or failed
	Waited           uint64      `cbor:"18,keyasint,omitempty"` // milliseconds for which the request and the calls made for it waited for slots
	Notice           *Notice     `cbor:"19,keyasint,omitempty"`
	Needs            []Need      `cbor:"20,keyasint,omitempty"`
	Timing           *Timing     `cbor:"21,keyasint,omitempty"` // message.Timing; nil: nothing was measured
	Pace             float32     `cbor:"22,keyasint,omitempty"` // see message.Load
}

// Need is what a run needs of a downstream service. The fields have the meaning of those of message.Need.
type Need struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Calls   float64
	Passed  float64
	Retried float64
}

// Notice is what the sender knows of its target from the target's responses. The fields have the meaning of those of
// message.Notice.
type Notice struct {
	_           struct{} `cbor:",toarray"`
	Leaving     bool
	Born        int64
	RateLimited bool
	RateLimit   float64
}

// Timing is message.Timing with times in microseconds. The receiver checks the figures; they are signed so that a negative one does
// not make the frame unreadable.
type Timing struct {
	Own      int64   `cbor:"1,keyasint,omitempty"`
	Calls    int64   `cbor:"2,keyasint,omitempty"`
	Slowdown float32 `cbor:"3,keyasint,omitempty"`
	Spent    int64   `cbor:"4,keyasint,omitempty"`
}

// Cancel says that the sender no longer waits for the response on a stream.
type Cancel struct {
	Stream uint64 `cbor:"1,keyasint"`
}

// Attach asks on a new stream for the response to a request that the same process sent on an earlier link.
type Attach struct {
	Stream        uint64   `cbor:"1,keyasint"`
	Generation    uint64   `cbor:"2,keyasint"` // of the earlier link
	EarlierStream uint64   `cbor:"3,keyasint"` // stream on the earlier link
	ID            [16]byte `cbor:"4,keyasint"` // of the request
}

// Grant says that the sender has reserved memory for the announced body on a stream: that of a request or, on a stream of the receiver's
// own, that of its response. The body follows in Body frames.
type Grant struct {
	Stream uint64 `cbor:"1,keyasint"`
}

// Ping asks for a Pong with the same sequence number.
type Ping struct {
	Sequence uint64 `cbor:"1,keyasint"`
}

// Pong answers a Ping.
type Pong struct {
	Sequence uint64 `cbor:"1,keyasint"`
}

// GoAway says that the sender runs no request on a stream above LastStream of this link. It still answers Attach.
type GoAway struct {
	LastStream uint64 `cbor:"1,keyasint"`
}

// Control carries a one-way message to a module of the other node.
type Control struct {
	Channel Channel `cbor:"1,keyasint"`
	Payload []byte  `cbor:"2,keyasint"`
}

var (
	encoder = mustEncoder()
	decoder = mustDecoder()
)

func mustEncoder() cbor.UserBufferEncMode {
	m, err := cbor.EncOptions{}.UserBufferEncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return m
}

func mustDecoder() cbor.DecMode {
	m, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  8,
		MaxArrayElements: 1 << 12,
		MaxMapPairs:      1 << 10,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return m
}

// Frame is a pointer to one of the frame structs of this package.
type Frame interface{ frameType() Type }

func (*Hello) frameType() Type    { return TypeHello }
func (*Request) frameType() Type  { return TypeRequest }
func (*Body) frameType() Type     { return TypeBody }
func (*Response) frameType() Type { return TypeResponse }
func (*Cancel) frameType() Type   { return TypeCancel }
func (*Ping) frameType() Type     { return TypePing }
func (*Pong) frameType() Type     { return TypePong }
func (*GoAway) frameType() Type   { return TypeGoAway }
func (*Control) frameType() Type  { return TypeControl }
func (*Attach) frameType() Type   { return TypeAttach }
func (*Grant) frameType() Type    { return TypeGrant }

// Decode decodes one frame. The frame does not refer to the memory of b.
func Decode(b []byte) (Frame, error) {
	if len(b) == 0 {
		return nil, fmt.Errorf("%w: empty message", ErrFrame)
	}
	if len(b) > MaxFrame {
		return nil, fmt.Errorf("%w: %d bytes", ErrTooLarge, len(b))
	}
	f := newFrame(Type(b[0]))
	if f == nil {
		return nil, fmt.Errorf("%w: unknown type %d", ErrFrame, b[0])
	}
	if err := decoder.Unmarshal(b[1:], f); err != nil {
		return nil, fmt.Errorf("%w: type %d: %v", ErrFrame, b[0], err)
	}
	return f, nil
}

func newFrame(t Type) Frame {
	switch t {
	case TypeHello:
		return new(Hello)
	case TypeRequest:
		return new(Request)
	case TypeBody:
		return new(Body)
	case TypeResponse:
		return new(Response)
	case TypeCancel:
		return new(Cancel)
	case TypePing:
		return new(Ping)
	case TypePong:
		return new(Pong)
	case TypeGoAway:
		return new(GoAway)
	case TypeControl:
		return new(Control)
	case TypeAttach:
		return new(Attach)
	case TypeGrant:
		return new(Grant)
	default:
		return nil
	}
}
