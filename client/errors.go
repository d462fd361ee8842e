package client

import (
	"fmt"
	"time"
)

// Failure describes why a request got no response of a target. docs/callers.md lists the reasons and steps.
type Failure struct {
	Reason     string        // machine-readable cause, for example "overload"
	Step       string        // processing step at which the request failed, for example "admit"
	Peer       string        // address of the remote side of that step
	Detail     string        // human-readable description
	RetryAfter time.Duration // time to wait before a retry; zero if a retry is of no use or no node responded
	RequestID  string
	Key        string // idempotency key of the request; empty if it had none
	Attempts   int    // attempts that may have reached a node
	Cause      error  // transport error, if any
}

func (f *Failure) text(outcome string) string {
	return fmt.Sprintf("request %s %s: %s at step %s, peer %q, after %d attempts: %s",
		f.RequestID, outcome, f.Reason, f.Step, f.Peer, f.Attempts, f.Detail)
}

// Unwrap returns the transport error, if any.
func (f *Failure) Unwrap() error { return f.Cause }

// NotRunError reports that the request certainly did not run and will not run. It can be sent again, as a new request or
// with the same key.
type NotRunError struct{ Failure }

// Error implements error.
func (e *NotRunError) Error() string { return e.text("was not run") }

// UnknownError reports that the outcome is unknown: the request may have run or may still run. Only a retry with the same
// key, or a check of the state that the request was to change, shows whether it did.
type UnknownError struct{ Failure }

// Error implements error.
func (e *UnknownError) Error() string { return e.text("may have been run") }
