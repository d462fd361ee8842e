package measure

import (
	"context"
	"strconv"

	"github.com/wigeoncleat/wigeoncleat/internal/process/admission"
	"github.com/wigeoncleat/wigeoncleat/internal/process/balance"
	"github.com/wigeoncleat/wigeoncleat/internal/process/engine"
	"github.com/wigeoncleat/wigeoncleat/internal/process/once"
	"github.com/wigeoncleat/wigeoncleat/internal/process/shed"
	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
)

// realNode is a node with the production engine.
type realNode struct {
	*engine.Engine
	world      *World
	keys       *once.Store
	balancers  *engine.Balancers
	control    *admission.Controller
	reportIdle bool // reports no requests in flight
}

func newReal(w *World, m *member, reportIdle bool) *realNode {
	keys, err := once.New(once.Options{Address: m.address, Incarnation: 1})
	if err != nil {
		panic(err) // the options are constant
	}
	pol := w.policy.Load()
	svc := *pol.Services[m.service]
	svc.Slots = m.slots
	n := &realNode{
		world:      w,
		keys:       keys,
		balancers:  engine.NewBalancers(zoneName(m.zone), pol.Balance),
		control:    admission.New(admission.LimitsOf(pol, &svc, 0)),
		reportIdle: reportIdle,
	}
	n.control.SetReturnStep(pol.Shed.ReturnStep)
	n.Engine = engine.New(engine.Config{
		Address: m.address, Service: m.service, Policy: w.policy, Confirmed: always, Ready: always,
		Peers: sender{w, m}, Target: m.target, Admission: engine.NewAdmission(n.control), Pickers: n.balancers,
		Shedder: shed.New(), Keys: keys,
		Binder: once.NewBinder(keys, w.platform, once.BinderOptions{}),
	})
	return n
}

func always() bool { return true }

func zoneName(zone int) string { return "az" + strconv.Itoa(zone) }

func (n *realNode) IssueKey() string { return n.keys.Issue(1)[0] }

func (n *realNode) SetTargets(targets map[string][]*member) {
	out := map[string][]balance.Target{}
	for service, members := range targets {
		for _, m := range members {
			out[service] = append(out[service],
				balance.Target{Address: m.address, Incarnation: 1, Zone: zoneName(m.zone), Slots: m.slots})
		}
	}
	n.balancers.Update(out)
}

// Leave makes the node refuse new work, as after SIGTERM.
func (n *realNode) Leave() {
	n.Engine.Leave()
	n.control.StopAdmitting()
}

// HandlePeer passes the request to the engine, and reports no requests in flight if reportIdle is set.
func (n *realNode) HandlePeer(ctx context.Context, req *message.Request) *message.Response {
	r := n.Engine.HandlePeer(ctx, req)
	if n.reportIdle {
		r.Load.InFlight = 0
	}
	return r
}
