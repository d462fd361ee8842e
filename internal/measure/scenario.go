package measure

import "time"

// Scenario is a run with its triggers.
type Scenario struct {
	Name        string
	Description string // what happens, for the report
	Options     Options
	Clients     Clients
	Length      time.Duration
	// Trigger is the time in which the pressure lasts.
	TriggerStart, TriggerEnd     time.Duration
	Load                         func(at time.Duration) float64 // offered rate as a share of the site's
	OnTriggerStart, OnTriggerEnd func(w *World)                 // at the start and the end of the trigger; may be nil
	OnStart                      func(w *World)                 // at the start of the run, for faults outside the trigger; may be nil
	// ServiceTimeFactors and SlotShares are the factors on service times and slots during the trigger, for the best possible goodput.
	ServiceTimeFactors, SlotShares func(s Site) map[string]float64
}

// steadyLoad is the load before and after a trigger.
const steadyLoad = 0.6

const (
	triggerStart = 15 * time.Second
	// settleTime is the time after the trigger in which recovery is watched.
	settleTime = 25 * time.Second
)

// callerKeyShare is the share of the orders that bring keys of their callers while the platform matters.
const callerKeyShare = 0.3

const platformDownText = "The platform is down and the load rises to 1.8. Callers choose the idempotency keys of 30 % of the orders, " +
	"which need the platform; nodes issue the others."

func between(from, to time.Duration, inside float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= from && at < to {
			return inside
		}
		return steadyLoad
	}
}

// Scenarios returns the scenarios that are measured.
func Scenarios() []Scenario {
	patient := Clients{Attempts: 3}
	// The connections of a target of Haetsal bound the wait in front of its slots to about 1.5 s. Callers that wait 2 s get
	// their answers even from full queues; callers that leave earlier keep the naive version overloaded.
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

// deepSlow slows the deepest service to a quarter of its speed while the demand doubles.
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

// deepest returns the last service of the chains.
func (s Site) deepest() string {
	for i := range s.Services {
		if len(s.Services[i].Calls) == 0 {
			return s.Services[i].Name
		}
	}
	panic("every service calls another") // sites are constant
}

// zoneLoss cuts an availability zone off at full load.
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

// mixedSizes gives targets a half, one and two times the slots, and one target that reports no load.
func mixedSizes(s *Scenario) {
	sizes := []float64{0.5, 1, 2}
	s.Options.SlotFactors = sizes
	s.Options.ReportIdle = map[string]bool{"menu-0": true, "catalogue-0": true}
	s.Load = between(s.TriggerStart, s.TriggerEnd, 2*steadyLoad)
	s.SlotShares = func(site Site) map[string]float64 { return slotSharesOf(site, sizes) }
}

// slotSharesOf returns the share of the nominal slots that targets of the given sizes have.
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
