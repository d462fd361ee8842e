package measure

import (
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
)

// leaveDelay is the time until all nodes know that a node is leaving, which a go-away and gossip take.
const leaveDelay = 200 * time.Millisecond

// SetRefusing sets whether the target of a node refuses all connections.
func (w *World) SetRefusing(m *member, refusing bool) { m.target.refusing.Store(refusing) }

// Leave makes a node leave gracefully: it refuses new work at once, and all nodes remove it from their lists after
// leaveDelay. Requests that it has accepted run to completion.
func (w *World) Leave(m *member) {
	m.leaving.Store(true)
	m.server.Leave()
	time.AfterFunc(leaveDelay, func() { w.announce(w.activeMembers()) })
}

// activeMembers returns the members that are not leaving.
func (w *World) activeMembers() []*member {
	var out []*member
	for _, m := range w.members {
		if !m.leaving.Load() {
			out = append(out, m)
		}
	}
	return out
}

// refused returns the response of a target that refused the connection.
func (t *fakeTarget) refused() *message.Response {
	return message.Refuse(message.ReasonConnection, message.Errorf(message.StepDial, t.service.Name, "connection refused"))
}
