// Package responsecheck decides which HTTP/1.1 responses are accepted by the clients of this project. It owns the rules on status lines,
// fields and ends of responses (RFC 9110, section 5; RFC 9112, sections 4 to 8). The responses are parsed by net/http, which is more
// lenient: it passes on field names with blanks and statuses below 100, and a response that ends with its connection is complete for it
// also if the connection was reset and the kernel has told only the writer of the request.
package responsecheck

import (
	"errors"
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// Errors of reads from a Conn.
var (
	ErrMalformed  = errors.New("malformed response")
	ErrNoResponse = errors.New("received bytes that are no response")
	// ErrIncomplete says that a response which ends with its connection may lack its end.
	ErrIncomplete = errors.New("response is incomplete: its connection was reset")
)

// responseStart begins every response.
const responseStart = "HTTP/"

// StartsResponse reports whether a response can begin with the bytes.
func StartsResponse(b []byte) bool {
	n := min(len(b), len(responseStart))
	return string(b[:n]) == responseStart[:n]
}

const (
	minStatus = 100
	maxStatus = 999
)

func checkStatus(status, lowest int) error {
	if status < lowest || status > maxStatus {
		return fmt.Errorf("%w: status %d", ErrMalformed, status)
	}
	return nil
}

// CheckFinal returns an error if a final response cannot have the status and the header. It is for responses that do not arrive in HTTP/1.1.
func CheckFinal(status int, h http.Header) error {
	if err := checkStatus(status, http.StatusOK); err != nil {
		return err
	}
	for name, values := range h {
		for _, value := range values {
			if err := checkField(name, value); err != nil {
				return err
			}
		}
	}
	return nil
}

// checkField returns an error that does not quote the field, as values can be confidential.
func checkField(name, value string) error {
	switch {
	case !httpguts.ValidHeaderFieldName(name):
		return fmt.Errorf("%w: invalid name of a field", ErrMalformed)
	case !httpguts.ValidHeaderFieldValue(value):
		return fmt.Errorf("%w: invalid value of a field", ErrMalformed)
	}
	return nil
}
