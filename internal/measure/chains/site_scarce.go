package chains

import "time"

// speeds returns the speeds of n targets, which repeat the given ones.
func speeds(n int, pattern ...float64) []float64 {
	out := make([]float64, n)
	for i := range out {
		out[i] = pattern[i%len(pattern)]
	}
	return out
}

// retrySlack is the operators' bound of the deployments with scarce capacity.
const retrySlack = 105

// ScarceSonda returns the deployment of 64 VMs in four distant zones whose demand swings (docs/design/README.md). A read needs eight
// answers of its smallest service and an order four.
func ScarceSonda() Site {
	const ms = time.Millisecond
	return Site{
		Name: "sonda-64", Zones: 4, ZoneLatency: 4400 * time.Microsecond, CallerLatency: 3 * ms, Swing: 0.55, RetrySlack: retrySlack,
		Services: []Service{
			{Name: "bitacora", Slots: 54, Speeds: speeds(28, 0.5, 1, 1, 1.5)},
			{Name: "agenda-tec", Slots: 70, Speeds: speeds(21, 0.6, 1, 1.4)},
			{Name: "mando", Slots: 147, Speeds: speeds(10, 0.6, 1, 1.4)},
			{Name: "sonda", Slots: 91, Speeds: speeds(5, 0.7, 0.7, 1.6), KneeFactor: 1.3},
		},
		Kinds: []Kind{
			{Name: "history-read", Service: "bitacora", Rate: 538, Work: 190 * ms, Spread: 0.5, Objective: 1500 * ms, Deadline: 5000 * ms,
				Timeout: 1200 * ms, Worth: 1, LateWorth: 0.1, Priority: 2, Calls: []CallGroup{{"crew-roster", 2, true}}},
			{Name: "visit-book", Service: "agenda-tec", Rate: 237, Work: 250 * ms, Spread: 0.5, Objective: 2000 * ms, Deadline: 5000 * ms,
				Timeout: 1500 * ms, Worth: 3, LateWorth: 0.2, Priority: 0, Once: true, Calls: []CallGroup{{"valve-map", 1, false}}},
			{Name: "actuator-order", Service: "mando", Rate: 183, Work: 130 * ms, Spread: 0.5, Objective: 600 * ms, Deadline: 2500 * ms,
				Timeout: 1200 * ms, Worth: 3, LateWorth: 0.3, Priority: 0, Once: true},
			{Name: "live-read", Service: "sonda", Rate: 194, Work: 75 * ms, Spread: 0.5, Objective: 300 * ms, Deadline: 1200 * ms,
				Worth: 2, LateWorth: 0.2, Priority: 1},
			{Name: "crew-roster", Service: "agenda-tec", Work: 15 * ms, Spread: 0.5, Objective: 1000 * ms, Deadline: 2500 * ms, Priority: 2, Calls: []CallGroup{{"valve-map", 1, false}}},
			{Name: "valve-map", Service: "mando", Work: 15 * ms, Spread: 0.5, Objective: 800 * ms, Deadline: 2000 * ms, Priority: 2, Calls: []CallGroup{{"sensor-calib", 4, false}}},
			{Name: "sensor-calib", Service: "sonda", Work: 55 * ms, Spread: 0.5, Objective: 300 * ms, Deadline: 700 * ms, Priority: 2},
		},
	}
}

// ScarceInspection returns the deployment of 66 VMs in three zones (docs/design/README.md). An order needs eight answers of its
// smallest service and a read four.
func ScarceInspection() Site {
	const ms = time.Millisecond
	return Site{
		Name: "inspect-66", Zones: 3, ZoneLatency: 1400 * time.Microsecond, CallerLatency: ms, RetrySlack: retrySlack,
		Services: []Service{
			{Name: "histsvc", Slots: 68, Speeds: speeds(29, 0.55, 1.2, 1.2, 1.2)},
			{Name: "partsvc", Slots: 94, Speeds: speeds(21, 0.7, 0.7, 1.6)},
			{Name: "dispatchsvc", Slots: 180, Speeds: speeds(11, 0.6, 1, 1.4)},
			{Name: "inspectsvc", Slots: 67, Speeds: speeds(5, 0.5, 1, 1, 1.5), KneeFactor: 1.3},
		},
		Kinds: []Kind{
			{Name: "site-history", Service: "histsvc", Rate: 696, Work: 110 * ms, Spread: 0.5, Objective: 1500 * ms, Deadline: 5000 * ms,
				Worth: 1, LateWorth: 0.3, Priority: 1, Calls: []CallGroup{{"stock-check", 1, false}}},
			{Name: "parts-order", Service: "partsvc", Rate: 296, Work: 140 * ms, Spread: 0.5, Objective: 3000 * ms, Deadline: 5000 * ms,
				Timeout: 800 * ms, Worth: 1.5, LateWorth: 0.46, Priority: 2, Once: true, Calls: []CallGroup{{"crew-roster", 2, false}}},
			{Name: "callout-dispatch", Service: "dispatchsvc", Rate: 261, Work: 76 * ms, Spread: 0.5, Objective: 250 * ms, Deadline: 1000 * ms,
				Worth: 3, LateWorth: 0.91, Priority: 1, Once: true},
			{Name: "inspection-status", Service: "inspectsvc", Rate: 226, Work: 44 * ms, Spread: 0.5, Objective: 200 * ms, Deadline: 800 * ms,
				Worth: 3.8, LateWorth: 0.46, Priority: 0},
			{Name: "stock-check", Service: "partsvc", Work: 15 * ms, Spread: 0.5, Objective: 1000 * ms, Deadline: 2500 * ms, Priority: 2, Calls: []CallGroup{{"crew-roster", 1, false}}},
			{Name: "crew-roster", Service: "dispatchsvc", Work: 15 * ms, Spread: 0.5, Objective: 800 * ms, Deadline: 2000 * ms, Priority: 2, Calls: []CallGroup{{"cert-registry", 4, false}}},
			{Name: "cert-registry", Service: "inspectsvc", Work: 27 * ms, Spread: 0.5, Objective: 300 * ms, Deadline: 700 * ms, Priority: 2},
		},
	}
}
