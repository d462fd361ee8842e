// Package httpserver creates the HTTP servers of the project's processes.
package httpserver

import (
	"net"
	"net/http"
	"net/url"

	khttp "github.com/go-kratos/kratos/v2/transport/http"
)

// New returns a server that passes every request unchanged to the handler. It bypasses the router of the library, which would
// redirect paths that are not clean, although these are valid for targets.
func New(l net.Listener, h http.Handler) *khttp.Server {
	return khttp.NewServer(
		khttp.Listener(l),
		// Without an endpoint, the library asks the kernel for all network interfaces, which some VMs do not allow.
		khttp.Endpoint(&url.URL{Scheme: "http", Host: l.Addr().String()}),
		khttp.Timeout(0), // requests have deadlines of their own
		khttp.Filter(func(http.Handler) http.Handler { return h }),
	)
}
