package event

import "log/slog"

// Events of target selection and admission: 400 to 499.
var (
	TargetEjected   = Event{400, slog.LevelWarn, "target ejected", "Check the target at the address if this repeats."}
	LimitLowered    = Event{401, slog.LevelWarn, "limit on requests in flight lowered", "Compare the slots in the policy with what the target runs at once, and check what the target depends on."}
	TargetPaced     = Event{403, slog.LevelInfo, "target has started, its limit grows with its answers", ""}
	TargetPaceFell  = Event{404, slog.LevelWarn, "limit of a target that has started fell, its answers fail or become slower", "Check the target process on this VM if this repeats."}
	TargetPaceEnded = Event{405, slog.LevelInfo, "target has reached its pace", ""}
	LimitRaised     = Event{402, slog.LevelInfo, "limit on requests in flight raised again", ""}
)
