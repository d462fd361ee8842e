package event

import "log/slog"

// Process events: 100 to 199.
var (
	ProcessStarted      = Event{100, slog.LevelInfo, "process started", ""}
	ProcessStopped      = Event{101, slog.LevelInfo, "process stopped", ""}
	DrainStarted        = Event{102, slog.LevelInfo, "graceful stop started", ""}
	DrainIncomplete     = Event{103, slog.LevelWarn, "graceful stop ended with requests in flight", "Look for targets that answer slower than the drain limit."}
	SettingsRead        = Event{104, slog.LevelInfo, "settings read", ""}
	InvariantViolated   = Event{105, slog.LevelError, "invariant violated", "Report the line with the lines around it: this is a fault of the program."}
	ServerFailed        = Event{106, slog.LevelError, "server failed", "Check that the address in the settings is free and belongs to this VM."}
	AuditEncodingFailed = Event{108, slog.LevelError, "audit entry of a change could not be encoded", "Report the line with the lines around it: this is a fault of the program."}
	StoreRestored       = Event{109, slog.LevelWarn, "platform store came back from an older copy of its data", "Compare the table with what was written since the copy; nodes restore their own rows."}
	DrainClosing        = Event{110, slog.LevelInfo, "graceful stop accepts no further connections", ""}
	LeaveUnsent         = Event{107, slog.LevelWarn, "leave was not sent to all peers", "Nothing: the other nodes find out by their probes."}
)

// Link events: 200 to 299.
var (
	LinkOpened          = Event{200, slog.LevelInfo, "link opened", ""}
	LinkClosed          = Event{201, slog.LevelInfo, "link closed", ""}
	LinkSilent          = Event{202, slog.LevelWarn, "link went silent and was closed", "Check the network between the two VMs if this repeats."}
	LinkRefused         = Event{203, slog.LevelWarn, "link refused", "Check that both nodes run releases with the same peer protocol."}
	FrameInvalid        = Event{204, slog.LevelWarn, "invalid frame", "Check that both nodes run the same release."}
	RequestOutlivedLink = Event{205, slog.LevelInfo, "request that outlived its link has ended", ""}
)

// Target events: 300 to 399.
var (
	TargetAnnounced    = Event{300, slog.LevelInfo, "target announced its state", ""}
	TargetLeaseExpired = Event{301, slog.LevelWarn, "target stopped announcing itself", "Check the target process on this VM."}
)

// All lists every event in ascending order of the numbers.
func All() []Event {
	return []Event{
		ProcessStarted, ProcessStopped, DrainStarted, DrainIncomplete, SettingsRead, InvariantViolated, ServerFailed,
		LeaveUnsent, AuditEncodingFailed, StoreRestored, DrainClosing,
		LinkOpened, LinkClosed, LinkSilent, LinkRefused, FrameInvalid, RequestOutlivedLink,
		TargetAnnounced, TargetLeaseExpired,
		TargetEjected, LimitLowered, LimitRaised, TargetPaced, TargetPaceFell, TargetPaceEnded,
		MemberJoined, MemberReplaced, MemberSuspected, MemberDied, MemberLeft, SelfActive, SelfIsolated,
		SelfChecking, SelfRefuted, SelfReplaced, SelfLeft, RegistrationFailed, LookupFailed, GossipInvalid,
		CommandFailed,
		ConfigApplied, ConfigConfirmed, ConfigUnconfirmed, ConfigRolledForward, ConfigConflict, ConfigUnusable, ConfigHeadRestored,
		ChangeAccepted, ChangeRefused, ChangeTakenOver, ChangeSuperseded, AuditDropped,
		RequestRefused, RequestUnknown, RequestRetried, RequestFailed, RequestSampled, LinesSuppressed, RequestRejected, ResponseCut,
		TargetReplaced, TargetChanged, TargetSilent, ReportRejected, PeerUnreachable, PeerReachable,
		RoutesApplied, RoutesRejected, StoreLost, StoreRegained, NodeRegistered, SettingsReloaded, SettingsUnusable,
		MemberChanged, PeerMessageFailed, TargetRefusesConnections, FollowerChanged, TargetFailing, TargetRecovered,
		TargetRateLimited, TargetRateLimitEnded, TargetRateUnreadable, TargetLeftOut, RegistryRepaired,
		TargetEnded, SuspectHeld, SuspectTried, SuspectCleared, RowIgnored, LeavingUnrecorded,
		KeysUnconfirmed, KeysConfirmed, OrganisationIgnored, QuotaReached, QuotaRegained,
		ChainsRefused, ChainsAdmitted, SuspectReleased,
		MemoryShort, MemorySuffices,
	}
}
