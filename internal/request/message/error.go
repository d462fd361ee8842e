package message

import (
	"errors"
	"fmt"
)

// ErrStopping is the cause with which the contexts of requests end that are still in progress when the node stops.
var ErrStopping = errors.New("the node stops")

// Step names the step of a request's path at which an error arose.
type Step string

// Steps of a request's path, in the order in which a request passes through them.
const (
	StepAccept    Step = "accept"    // reading and checking the request
	StepConfigure Step = "configure" // finding service and route in the policy
	StepShed      Step = "shed"      // shedding by priority before any work is done
	StepKey       Step = "key"       // finding the key's home node, and what is recorded there
	StepPick      Step = "pick"      // choosing a target
	StepDial      Step = "dial"      // opening a connection
	StepSend      Step = "send"      // writing the request
	StepAwait     Step = "await"     // waiting for the response
	StepAdmit     Step = "admit"     // admission at the target's node
	StepRun       Step = "run"       // running at the target
)

// Error describes at which step, and with which peer, a request failed.
type Error struct {
	Step   Step
	Peer   string // address of the peer; empty for a step inside the node
	Detail string
}

// Errorf returns an Error whose detail is formatted as by fmt.Sprintf.
func Errorf(step Step, peer, format string, args ...any) *Error {
	return &Error{Step: step, Peer: peer, Detail: fmt.Sprintf(format, args...)}
}

// Error implements error.
func (e *Error) Error() string {
	if e.Peer == "" {
		return fmt.Sprintf("%s: %s", e.Step, e.Detail)
	}
	return fmt.Sprintf("%s %s: %s", e.Step, e.Peer, e.Detail)
}
