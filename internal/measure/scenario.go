package measure

import "time"

// Scenario describes a run: its load, and a trigger that puts the deployment under pressure for a limited time.
type Scenario struct {
	Name        string
	Description string // shown in the report
	Options     Options
	Clients     Clients
	Length      time.Duration
	// TriggerStart and TriggerEnd are times since the start of the run.
	TriggerStart, TriggerEnd     time.Duration
	Load                         func(at time.Duration) float64 // offered rate as a factor on the SaturationRate
	OnTriggerStart, OnTriggerEnd func(w *World)                 // optional; called when the trigger starts and ends
	OnStart                      func(w *World)                 // optional; called at the start of the run, for faults outside the trigger
	// ServiceTimeFactors and SlotShares return, by service, the factors on service times and on the number of slots during
	// the trigger, for the best possible goodput. They are optional and do not affect the run itself.
	ServiceTimeFactors, SlotShares func(s Site) map[string]float64
}

// steadyLoad is the load outside the trigger.
const steadyLoad = 0.6

const (
	triggerStart = 15 * time.Second
	// settleTime is the length of the run after the trigger, in which recovery is measured.
	settleTime = 25 * time.Second
)

// callerKeyShare is the share of the orders with idempotency keys chosen by their callers, in scenarios with outages of the
// platform.
const callerKeyShare = 0.3

const platformDownText = "The platform is down and the load rises to 1.8. Callers choose the idempotency keys of 30 % of the orders, " +
	"which need the platform; nodes issue the others."

// between returns a load that is inside from one time up to the other, and steadyLoad otherwise.
func between(from, to time.Duration, inside float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= from && at < to {
			return inside
		}
		return steadyLoad
	}
}

// Scenarios returns the scenarios of the report.
func Scenarios() []Scenario {
	patient := Clients{Attempts: 3}
	// The connection limit of a target of Haetsal bounds the queueing time to about 1.5 s. Callers with a timeout of 2 s get
	// responses even from full queues; callers with a shorter timeout keep the naive version overloaded.
	impatient := Clients{Attempts: 6, IgnoreRetryAfter: true, Timeout: time.Second}
	list := []Scenario{
		{Name: "surge", Description: "The load rises to 1.8.", Clients: patient, TriggerEnd: triggerStart + 60*time.Second},
		{Name: "deep-slow", Description: "The deepest service needs four times as long for each request while the load rises to 1.2.",
			Clients: impatient, TriggerEnd: triggerStart + 30*time.Second},
		{Name: "az-loss", Description: "One availability zone is cut off while the load rises to 1. Nodes learn of it after 4 s.",
			Clients: patient, TriggerEnd: triggerStart + 30*time.Second},
		{Name: "platform-down", Description: platformDownText,
			Clients: patient, TriggerEnd: triggerStart + 30*time.Second},
		{Name: "mixed-sizes", Description: "Targets have a half, one and two times the nominal slots, one of them reports that it is idle, and the load rises to 1.2.",
			Clients: patient, TriggerEnd: triggerStart + 30*time.Second},
	}
	for i := range list {
		s := &list[i]
		s.TriggerStart = triggerStart
		s.Length = s.TriggerEnd + settleTime
		s.Options.Seed = uint64(i + 1)
	}
	list[0].Load = between(triggerStart, list[0].TriggerEnd, 3*steadyLoad)
	list[3].Load = between(triggerStart, list[3].TriggerEnd, 3*steadyLoad)
	list[3].Options.CallerKeyShare = callerKeyShare
	list[3].OnTriggerStart = func(w *World) { w.SetPlatformDown(true) }
	list[3].OnTriggerEnd = func(w *World) { w.SetPlatformDown(false) }
	deepSlow(&list[1])
	zoneLoss(&list[2])
	mixedSizes(&list[4])
	return list
}

// deepSlow makes the deepest service four times as slow while the load doubles.
func deepSlow(s *Scenario) {
	const factor = 4
	s.Load = between(s.TriggerStart, s.TriggerEnd, 2*steadyLoad)
	set := func(w *World, f float64) {
		for _, m := range w.members {
			if m.service == w.site.deepest() {
				m.target.setServiceTimeFactor(f)
			}
		}
	}
	s.OnTriggerStart = func(w *World) { set(w, factor) }
	s.OnTriggerEnd = func(w *World) { set(w, 1) }
	s.ServiceTimeFactors = func(site Site) map[string]float64 { return map[string]float64{site.deepest(): factor} }
}

// deepest returns the name of the service at the end of the call chains, the first that calls no other.
func (s Site) deepest() string {
	for i := range s.Services {
		if len(s.Services[i].Calls) == 0 {
			return s.Services[i].Name
		}
	}
	panic("every service calls another") // sites are constant
}

// zoneLoss partitions an availability zone from the others and the callers at a load of 1.
func zoneLoss(s *Scenario) {
	const zone = 0
	s.Load = func(at time.Duration) float64 {
		if at >= s.TriggerStart && at < s.TriggerEnd {
			return 1
		}
		return steadyLoad
	}
	s.OnTriggerStart = func(w *World) { w.PartitionZone(zone) }
	s.OnTriggerEnd = func(w *World) { w.HealPartition() }
	s.SlotShares = func(site Site) map[string]float64 {
		out := map[string]float64{}
		for i := range site.Services {
			reachable := 0
			for n := range site.Services[i].Targets {
				if (n+i)%site.Zones != zone {
					reachable++
				}
			}
			out[site.Services[i].Name] = float64(reachable) / float64(site.Services[i].Targets)
		}
		return out
	}
}

// mixedSizes gives targets a half, one and two times the nominal slots, and makes one target report that it is idle.
func mixedSizes(s *Scenario) {
	sizes := []float64{0.5, 1, 2}
	s.Options.SlotFactors = sizes
	s.Options.ReportIdle = map[string]bool{"menu-0": true, "catalogue-0": true}
	s.Load = between(s.TriggerStart, s.TriggerEnd, 2*steadyLoad)
	s.SlotShares = func(site Site) map[string]float64 { return slotSharesOf(site, sizes) }
}

// slotSharesOf returns, by service, the share of the nominal slots that targets with the given slot factors have.
func slotSharesOf(site Site, sizes []float64) map[string]float64 {
	out := map[string]float64{}
	for i := range site.Services {
		sum := 0.0
		for n := range site.Services[i].Targets {
			sum += sizes[n%len(sizes)]
		}
		out[site.Services[i].Name] = sum / float64(site.Services[i].Targets)
	}
	return out
}
