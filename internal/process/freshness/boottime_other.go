//go:build !linux

package freshness

// Boottime reports false: on this system there is no clock that is known to go on while the system is suspended.
func Boottime() (Moment, bool) { return 0, false }
