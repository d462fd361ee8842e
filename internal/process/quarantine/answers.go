package quarantine

import "time"

const (
	// answerWindow is the time for which an answer is remembered at least, and half of the time for which it is remembered at most.
	answerWindow = 5 * time.Second
	// maxAnswers bounds the answers of one generation, at about 30 bytes each.
	maxAnswers = 8192
)

// recentAnswers are the requests that a target has answered lately, in two generations. It is not safe for concurrent use.
type recentAnswers struct {
	current, previous map[Fingerprint]struct{}
	since             time.Time // start of the current generation
}

func (a *recentAnswers) add(fp Fingerprint, now time.Time) {
	if a.rotate(now); len(a.current) >= maxAnswers {
		a.startGeneration(now)
	}
	a.current[fp] = struct{}{}
}

func (a *recentAnswers) has(fp Fingerprint, now time.Time) bool {
	a.rotate(now)
	_, current := a.current[fp]
	_, previous := a.previous[fp]
	return current || previous
}

// rotate drops what is too old.
func (a *recentAnswers) rotate(now time.Time) {
	if a.current == nil || now.Sub(a.since) >= answerWindow {
		old := now.Sub(a.since) >= 2*answerWindow
		if a.startGeneration(now); old {
			a.previous = nil
		}
	}
}

func (a *recentAnswers) startGeneration(now time.Time) {
	a.previous, a.current, a.since = a.current, map[Fingerprint]struct{}{}, now
}
