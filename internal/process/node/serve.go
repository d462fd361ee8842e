package node

import (
	"context"
	"fmt"
	"log/slog"
	"os"

	"github.com/wigeoncleat/wigeoncleat/internal/process/platform"
	"github.com/wigeoncleat/wigeoncleat/internal/process/settings"
	"github.com/wigeoncleat/wigeoncleat/internal/version/policy"
)

// filePolicyVersion is the version of a policy that is read from files instead of the platform.
const filePolicyVersion = 1

// Serve runs a node with the settings until ctx ends, and then stops it gracefully. The graceful stop ends early when abort
// ends.
func Serve(ctx, abort context.Context, s *settings.Settings, log *slog.Logger) error {
	opts := Options{Settings: s, Log: log}
	if s.Platform.TableURL != "" {
		table, err := platform.NewHTTPTable(s.Platform.TableURL, s.Platform.Timeout)
		if err != nil {
			return fmt.Errorf("platform: %w", err)
		}
		objects, err := platform.NewHTTPObjects(s.Platform.ObjectsURL, s.Platform.Timeout)
		if err != nil {
			return fmt.Errorf("platform: %w", err)
		}
		opts.Table, opts.Objects = table, objects
	}
	n, err := New(opts)
	if err != nil {
		return err
	}
	if s.Policy.Base != "" {
		pol, err := readPolicy(s.Policy)
		if err != nil {
			return err
		}
		n.Apply(pol)
	}
	listeners, err := Listen(s)
	if err != nil {
		return err
	}
	return n.Run(ctx, listeners, abort)
}

// readPolicy loads the policy from local files, for trials without a platform.
func readPolicy(files settings.PolicyFiles) (*policy.Policy, error) {
	var read [2]policy.File
	for i, name := range []string{files.Base, files.Overlay} {
		body, err := os.ReadFile(name)
		if err != nil {
			return nil, fmt.Errorf("read policy: %w", err)
		}
		read[i] = policy.File{Name: name, Body: body}
	}
	pol, _, err := policy.Load(read[0], read[1])
	if err != nil {
		return nil, err
	}
	return pol.WithVersion(filePolicyVersion), nil
}
