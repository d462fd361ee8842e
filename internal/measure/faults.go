package measure

import (
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
)

// leaveDelay is the time after which all nodes know that a node is leaving; a go-away and gossip take that long.
const leaveDelay = 200 * time.Millisecond

// SetRefusing makes a target refuse all connections, or ends that.
func (w *World) SetRefusing(m *member, refusing bool) { m.target.refusing.Store(refusing) }

// Leave makes a node leave gracefully: it takes no new work, and all nodes take it out of their lists a little later.
// Requests that it has taken run to their end.
func (w *World) Leave(m *member) {
	m.leaving.Store(true)
	m.server.Leave()
	time.AfterFunc(leaveDelay, func() { w.announce(w.activeMembers()) })
}

// activeMembers returns the members that have not left.
func (w *World) activeMembers() []*member {
	var out []*member
	for _, m := range w.members {
		if !m.leaving.Load() {
			out = append(out, m)
		}
	}
	return out
}

// refused is the response of a target that accepts no connection.
func (t *fakeTarget) refused() *message.Response {
	return message.Refuse(message.ReasonConnection, message.Errorf(message.StepDial, t.service.Name, "connection refused"))
}
