package event

import "log/slog"

// Membership events: 500 to 599.
var (
	MemberJoined       = Event{500, slog.LevelInfo, "member joined", ""}
	MemberReplaced     = Event{501, slog.LevelInfo, "member was replaced by another process", ""}
	MemberSuspected    = Event{502, slog.LevelInfo, "member is suspected", ""}
	MemberDied         = Event{503, slog.LevelWarn, "member was declared dead", "Check the VM and its network."}
	MemberLeft         = Event{504, slog.LevelInfo, "member left", ""}
	SelfActive         = Event{505, slog.LevelInfo, "node is a member", ""}
	SelfIsolated       = Event{506, slog.LevelWarn, "node hears no other member", "Check the network of this VM."}
	SelfChecking       = Event{507, slog.LevelWarn, "node was paused or cut off and asks its neighbours", "Check for processor time that other VMs take."}
	SelfRefuted        = Event{508, slog.LevelInfo, "node refuted that it is gone", ""}
	SelfReplaced       = Event{509, slog.LevelError, "another process runs at the address of this node", "Stop this process, or give one of the two another address."}
	SelfLeft           = Event{510, slog.LevelInfo, "node left", ""}
	RegistrationFailed = Event{511, slog.LevelWarn, "registration in the table failed", "Check the platform. Members do not depend on it, but new nodes join through the seeds of their settings only."}
	LookupFailed       = Event{512, slog.LevelWarn, "registrations were not read", "Check the platform, or give the node the address of a running member in its settings."}
	GossipInvalid      = Event{513, slog.LevelWarn, "invalid membership message", "Check that both nodes run the same release."}
)
