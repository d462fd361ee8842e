package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/urfave/cli/v3"

	"github.com/wigeoncleat/wigeoncleat/internal/connection/responsecheck"
)

const (
	flagNode    = "node"
	flagTimeout = "timeout"
)

// adminFlags returns the flags of commands that connect to a node.
func adminFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringSliceFlag{Name: flagNode, Sources: cli.EnvVars("WIGEON_NODE"),
			Usage: "admin `ADDRESS` of a node; the first of several that answers is used"},
		&cli.DurationFlag{Name: flagTimeout, Value: 40 * time.Second, Usage: "longest wait for the node"},
	}
}

// admin is a client of a node's admin interface.
type admin struct {
	address string
	client  *khttp.Client
}

// healthTimeout bounds the wait for the response to the probe of a node.
const healthTimeout = 2 * time.Second

// dialAdmin returns a client of the first node that responds to a probe.
func dialAdmin(ctx context.Context, c *cli.Command) (*admin, error) {
	addresses := c.StringSlice(flagNode)
	if len(addresses) == 0 {
		return nil, errors.New("--node or WIGEON_NODE is required")
	}
	var failures error
	for _, address := range addresses {
		a, err := newAdmin(ctx, address, c.Duration(flagTimeout))
		if err != nil {
			return nil, withExitFailed(fmt.Errorf("node %s: %w", address, err))
		}
		probe, cancel := context.WithTimeout(ctx, healthTimeout)
		err = a.call(probe, "GET", "/status", nil, new(struct{}))
		cancel()
		if err == nil {
			return a, nil
		}
		failures = errors.Join(failures, err)
	}
	return nil, withExitFailed(failures)
}

// newAdmin returns a client of the node at the address. It opens no connection.
func newAdmin(ctx context.Context, address string, timeout time.Duration) (*admin, error) {
	client, err := khttp.NewClient(ctx, khttp.WithEndpoint(address), khttp.WithTimeout(timeout),
		khttp.WithTransport(responsecheck.NewTransport(&http.Transport{Proxy: http.ProxyFromEnvironment})))
	if err != nil {
		return nil, err
	}
	return &admin{address: address, client: client}, nil
}

// call sends a request with a JSON body and decodes the JSON response.
func (a *admin) call(ctx context.Context, method, path string, body, into any) error {
	if err := a.client.Invoke(ctx, method, path, body, into); err != nil {
		return withExitFailed(fmt.Errorf("%s %s at %s: %w", method, path, a.address, err))
	}
	return nil
}
