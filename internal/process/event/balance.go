package event

import "log/slog"

// Events of target selection and admission: 400 to 499.
var (
	TargetEjected = Event{400, slog.LevelWarn, "target ejected", "Check the target at the address if this repeats."}
	LimitLowered  = Event{401, slog.LevelWarn, "limit on requests in flight lowered", "Compare the slots in the policy with what the target runs at once, and check what the target depends on."}
	LimitRaised   = Event{402, slog.LevelInfo, "limit on requests in flight raised again", ""}
)
