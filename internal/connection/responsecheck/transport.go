package responsecheck

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
)

// Transport is an http.RoundTripper that accepts valid responses only. It is safe for concurrent use.
type Transport struct{ next *http.Transport }

// NewTransport returns a Transport that sends requests through t, which must not be used before or otherwise. Connections are HTTP/1.1
// connections; those that httptrace shows are of type *Conn.
func NewTransport(t *http.Transport) *Transport {
	dial := t.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		nc, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(nc), nil
	}
	t.DialTLSContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		nc, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		tc := tls.Client(nc, tlsConfig(t, address))
		if err := tc.HandshakeContext(ctx); err != nil {
			return nil, errors.Join(err, nc.Close())
		}
		return NewConn(tc), nil
	}
	return &Transport{t}
}

func tlsConfig(t *http.Transport, address string) *tls.Config {
	cfg := &tls.Config{}
	if t.TLSClientConfig != nil {
		cfg = t.TLSClientConfig.Clone()
	}
	if host, _, err := net.SplitHostPort(address); err == nil && cfg.ServerName == "" {
		cfg.ServerName = host
	}
	return cfg
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*Conn); ok {
			c.Begin(r)
		}
	}}
	return t.next.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
}

// CloseIdleConnections closes the connections that no request uses.
func (t *Transport) CloseIdleConnections() { t.next.CloseIdleConnections() }
