package event

import "log/slog"

// Command-line events: 600 to 699.
var (
	CommandFailed = Event{600, slog.LevelError, "command failed", "The attribute error names the cause; docs/wigeonctl.md lists the exit codes."}
)
