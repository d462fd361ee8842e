package event

import "log/slog"

// Configuration and audit events: 700 to 799.
var (
	ConfigApplied       = Event{700, slog.LevelInfo, "configuration version applied", ""}
	ConfigConfirmed     = Event{701, slog.LevelInfo, "configuration version confirmed", ""}
	ConfigUnconfirmed   = Event{702, slog.LevelWarn, "configuration version not confirmed, no new work is taken", "Check whether this VM reaches the platform or most nodes of its availability zone."}
	ConfigRolledForward = Event{703, slog.LevelWarn, "configuration change rolled forward while the platform is down", "None at once; the change is recorded when the platform is back."}
	ConfigConflict      = Event{704, slog.LevelError, "two bodies for one configuration version", "Report the line with the lines around it: this is a fault of the program or of the table."}
	ConfigUnusable      = Event{705, slog.LevelError, "accepted configuration version rejected by this node, no new work is taken", "Check that this node runs the same release as the others."}
	ConfigHeadRestored  = Event{706, slog.LevelWarn, "head of the configuration written anew after the platform was restored", "Compare it with the audit trail; audit entries of the lost seconds are written again."}
	ChangeAccepted      = Event{710, slog.LevelInfo, "configuration change accepted", ""}
	ChangeRefused       = Event{711, slog.LevelWarn, "configuration change refused", "See the reason; correct the change and submit it again with a new ID."}
	ChangeTakenOver     = Event{712, slog.LevelWarn, "configuration change taken over from another coordinator", ""}
	ChangeSuperseded    = Event{713, slog.LevelWarn, "another node took over the configuration change", ""}
	AuditDropped        = Event{720, slog.LevelWarn, "audit entries dropped because the buffer is full", "Restore the platform; the number of dropped entries is recorded in the trail."}
)
