package client

import (
	"fmt"
	"time"
)

// Failure describes why a request got no answer. docs/callers.md lists the reasons and steps.
type Failure struct {
	Reason     string        // machine-readable cause, for example "overload"
	Step       string        // step of the request's path at which it failed, for example "admit"
	Peer       string        // address of the other side at that step
	Detail     string        // for people
	RetryAfter time.Duration // when to come back; zero if a repeat is of no use or the request got no answer from a node
	RequestID  string
	Key        string // idempotency key of the request; empty if it had none
	Attempts   int    // attempts that may have reached a node
	Cause      error  // error of the transport, if any
}

func (f *Failure) text(outcome string) string {
	return fmt.Sprintf("request %s %s: %s at step %s, peer %q, after %d attempts: %s",
		f.RequestID, outcome, f.Reason, f.Step, f.Peer, f.Attempts, f.Detail)
}

// Unwrap returns the error of the transport, if any.
func (f *Failure) Unwrap() error { return f.Cause }

// NotRunError reports that the request provably was not run and will not be run. It can be sent again, as a new request or
// with the same key.
type NotRunError struct{ Failure }

// Error implements error.
func (e *NotRunError) Error() string { return e.text("was not run") }

// UnknownError reports that the request may have been run or may still be. Only a repeat with the same key, or a look at
// what the request was to change, can tell.
type UnknownError struct{ Failure }

// Error implements error.
func (e *UnknownError) Error() string { return e.text("may have been run") }
