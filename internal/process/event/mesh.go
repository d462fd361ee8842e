package event

import "log/slog"

// Events of transparently forwarded requests: 800 to 849.
var (
	RequestRefused  = Event{800, slog.LevelWarn, "request refused, not run", "See reason, step and peer; docs/OPERATIONS.md leads from the id to the cause."}
	RequestUnknown  = Event{801, slog.LevelWarn, "request ended without an answer, may have run", "See reason, step and peer; look for the same id at the peer."}
	RequestRetried  = Event{802, slog.LevelInfo, "request sent to another target", ""}
	RequestFailed   = Event{803, slog.LevelInfo, "target answered with a failure", "Look for calls of the same id that were refused or failed."}
	RequestSampled  = Event{804, slog.LevelInfo, "request answered", ""}
	RequestRejected = Event{806, slog.LevelWarn, "request cannot be served as it was sent", "Compare the limits of the configuration with what the caller sends."}
	ResponseCut     = Event{807, slog.LevelWarn, "complete response cut off, its caller reads it too slowly", "Find the caller by the id; the request has run."}
	LinesSuppressed = Event{805, slog.LevelWarn, "request lines left out to bound the volume", ""}
)

// Events of a node with a local target, in the same deployments: 850 to 899.
var (
	TargetReplaced           = Event{850, slog.LevelInfo, "another instance of the target runs", ""}
	TargetChanged            = Event{851, slog.LevelInfo, "target changed its state", ""}
	TargetSilent             = Event{852, slog.LevelWarn, "target stopped reporting, no work is taken", "Check the target process on this VM."}
	ReportRejected           = Event{853, slog.LevelWarn, "report of a target rejected", "See the error: a field, the service or the address is not that of this VM's target."}
	PeerUnreachable          = Event{854, slog.LevelWarn, "node cannot be reached, its target gets no requests", "Check the VM at the address and the network between."}
	PeerReachable            = Event{855, slog.LevelInfo, "node can be reached again", ""}
	RoutesApplied            = Event{856, slog.LevelInfo, "configuration version in force", ""}
	RoutesRejected           = Event{857, slog.LevelError, "configuration cannot be read, the version before stays in force", "Compare the release of this node with the configuration's format."}
	StoreLost                = Event{858, slog.LevelWarn, "platform store cannot be used", "None at once: requests are served with what is known. Check the store."}
	StoreRegained            = Event{859, slog.LevelInfo, "platform store can be used again", ""}
	NodeRegistered           = Event{860, slog.LevelInfo, "node found its peers in the platform store", ""}
	SettingsReloaded         = Event{861, slog.LevelInfo, "settings read again", ""}
	SettingsUnusable         = Event{862, slog.LevelError, "changed settings cannot be used, those before stay in force", "Correct the settings file and send SIGHUP."}
	MemberChanged            = Event{863, slog.LevelInfo, "node changed its entry", ""}
	PeerMessageFailed        = Event{864, slog.LevelWarn, "message to a node could not be sent", ""}
	TargetRefusesConnections = Event{865, slog.LevelWarn, "target refuses connections, no work is taken until it reports", "Check the target process on this VM."}
	FollowerChanged          = Event{866, slog.LevelInfo, "node follows the store for its availability zone, or no longer does", ""}
	TargetFailing            = Event{867, slog.LevelWarn, "target fails part of its requests, callers are told", "Check the target process on this VM; its health may look good."}
	TargetRecovered          = Event{868, slog.LevelInfo, "target no longer fails its requests, callers are told", ""}
	TargetRateLimited        = Event{869, slog.LevelWarn, "target names the requests per second that it takes", "Check the target process on this VM; other targets get the rest, or it is refused."}
	TargetRateLimitEnded     = Event{870, slog.LevelInfo, "target no longer limits its requests per second", ""}
	TargetRateUnreadable     = Event{871, slog.LevelWarn, "target names a limit of requests per second that cannot be read", "Correct the target; the limit that it named before stays in force."}
	RegistryRepaired         = Event{873, slog.LevelInfo, "table of nodes repaired after the store came back from an older copy", ""}
	TargetLeftOut            = Event{872, slog.LevelInfo, "target says in a response that it leaves, it gets no requests from this node", ""}
	TargetEnded              = Event{874, slog.LevelWarn, "target ended without notice", "Check the target process on this VM; requests that were in progress at several ends are held."}
	SuspectHeld              = Event{875, slog.LevelWarn, "request is held, targets ended while they ran it", "Find what its callers send: lines with the same fingerprint name them."}
	SuspectTried             = Event{876, slog.LevelInfo, "request that was held runs as a trial", ""}
	RowIgnored               = Event{878, slog.LevelWarn, "row in the table of nodes cannot be that of a node, it is ignored", "Find out who writes to the table, and remove the row."}
	MemoryShort              = Event{890, slog.LevelWarn, "memory is short, slow connections are closed", "See the metrics of held bytes for what takes the memory; look for callers that read or send slowly."}
	MemorySuffices           = Event{891, slog.LevelInfo, "memory suffices again", ""}
	LeavingUnrecorded        = Event{879, slog.LevelWarn, "target leaves, but the store has not recorded it, so it is not acknowledged", "Check the store. The target gets no requests from this process; it reports again."}
	KeysUnconfirmed          = Event{880, slog.LevelWarn, "node does not know whether its configuration is the newest one, it accepts no keys", "Check whether this VM reaches the store or other nodes; callers with keys get 503 and may come back."}
	KeysConfirmed            = Event{881, slog.LevelInfo, "node knows that its configuration is the newest one, it accepts keys", ""}
	QuotaReached             = Event{883, slog.LevelWarn, "organisation has used up its quota, requests are refused", "Compare what it sends with its quota; callers get 429 and may come back."}
	QuotaRegained            = Event{884, slog.LevelInfo, "organisation is within its quota again", ""}
	OrganisationIgnored      = Event{882, slog.LevelWarn, "part of an organisation in the configuration cannot be used", "Correct the organisation in the configuration; the attribute what names its position."}
	SuspectReleased          = Event{889, slog.LevelWarn, "operator released a request that was held", ""}
	ChainsRefused            = Event{886, slog.LevelWarn, "service refuses or fails calls, orders that need it are refused at first", "Check the targets of the service: they refuse or fail requests although they have room."}
	ChainsAdmitted           = Event{887, slog.LevelInfo, "service no longer refuses or fails calls, orders that need it are admitted", ""}
	SuspectCleared           = Event{877, slog.LevelInfo, "request is no longer held, a target has answered it", ""}
)
