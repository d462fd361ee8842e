// Package measure simulates the request path of whole deployments in virtual time: production engines over in-memory links
// and fake targets, compared with a naive implementation under the same arrivals and faults. It measures goodput and
// recovery, and checks every response against what the targets executed.
//
// A World must be created and run inside a testing/synctest bubble.
package measure

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/wigeoncleat/wigeoncleat/internal/version/policy"
)

// Site describes a deployment.
type Site struct {
	Name           string
	Zones          int           // availability zones
	ZoneLatency    time.Duration // one-way latency between availability zones
	ClientLatency  time.Duration // one-way latency between callers and nodes
	Services       []Service
	Routes         []Route
	SaturationRate float64 // requests per second at a load of 1, which just saturates the bottleneck service
	// Settings holds the retry, queue, shed, limits, balance and once settings of the site. Nil means the defaults.
	Settings *policy.Policy
}

// Service describes the targets of a service.
type Service struct {
	Name            string
	Targets         int
	Slots           int
	Connections     int
	MeanServiceTime time.Duration // of the service's own work, without the calls that it makes
	Calls           []string      // services that every request calls, in sequence
}

// Route describes one kind of request that callers send.
type Route struct {
	Name    string
	Service string
	Share   float64 // of all requests
	Class   string
	Rank    uint8
	Once    bool // must not be executed more than once
}

// Ranks of the request classes at both sites.
const (
	rankBrowse = 1
	rankOrder  = 3
)

// clientTimeout is the default timeout of a caller's attempt, several times the latency of an idle chain.
const clientTimeout = 2 * time.Second

// Haetsal returns the deployment of the franchise cafés. The sizes are those in production; the service times make a chain
// take about a quarter of a second.
func Haetsal() Site {
	return Site{
		Name: "haetsal", Zones: 4, ZoneLatency: 500 * time.Microsecond, ClientLatency: time.Millisecond,
		Services: []Service{
			{Name: "menu", Targets: 4, Slots: 40, Connections: 300, MeanServiceTime: 80 * time.Millisecond, Calls: []string{"supply"}},
			{Name: "ordering", Targets: 4, Slots: 40, Connections: 300, MeanServiceTime: 120 * time.Millisecond, Calls: []string{"supply"}},
			{Name: "supply", Targets: 4, Slots: 40, Connections: 300, MeanServiceTime: 80 * time.Millisecond, Calls: []string{"royalty"}},
			{Name: "royalty", Targets: 4, Slots: 10, Connections: 150, MeanServiceTime: 40 * time.Millisecond},
		},
		Routes: []Route{
			{Name: "menu-read", Service: "menu", Share: 0.8, Class: "browse", Rank: rankBrowse},
			{Name: "stock-order", Service: "ordering", Share: 0.2, Class: "order", Rank: rankOrder, Once: true},
		},
	}.withSaturationRate()
}

// Gnomon returns the deployment of the sundial workshops.
func Gnomon() Site {
	return Site{
		Name: "gnomon", Zones: 3, ZoneLatency: 500 * time.Microsecond, ClientLatency: 3 * time.Millisecond,
		Services: []Service{
			{Name: "catalogue", Targets: 4, Slots: 120, Connections: 800, MeanServiceTime: 160 * time.Millisecond, Calls: []string{"tracking"}},
			{Name: "commission", Targets: 3, Slots: 160, Connections: 1000, MeanServiceTime: 200 * time.Millisecond, Calls: []string{"tracking"}},
			{Name: "tracking", Targets: 3, Slots: 160, Connections: 1000, MeanServiceTime: 120 * time.Millisecond, Calls: []string{"charts"}},
			{Name: "charts", Targets: 3, Slots: 30, Connections: 300, MeanServiceTime: 60 * time.Millisecond},
		},
		Routes: []Route{
			{Name: "catalogue-view", Service: "catalogue", Share: 0.9, Class: "browse", Rank: rankBrowse},
			{Name: "commission-charge", Service: "commission", Share: 0.1, Class: "order", Rank: rankOrder, Once: true},
		},
	}.withSaturationRate()
}

// baseFile is the name of the base policy file. The overlay of a site, in the same directory, is named after the site.
const baseFile = "base.ini"

// BaseFileOnly, given as the name of an overlay, stands for the base file without an overlay.
const BaseFileOnly = "base file"

// WithOverlay returns the site with the settings of the base file in dir and the given overlay. With BaseFileOnly it uses the
// base file alone. Services and routes are not taken from the files, because each service of a simulated site stands for
// several services of the same kind.
func (s Site) WithOverlay(dir, overlay string) (Site, error) {
	files := [2]policy.File{{Name: baseFile}, {Name: overlay + ".ini"}}
	for i := range files {
		if i == 1 && overlay == BaseFileOnly {
			files[i].Body = fmt.Appendf(nil, "[site]\nname = %s\n", s.Name)
			continue
		}
		body, err := os.ReadFile(filepath.Join(dir, files[i].Name))
		if err != nil {
			return s, fmt.Errorf("read policy file: %w", err)
		}
		files[i].Body = body
	}
	p, _, err := policy.Load(files[0], files[1])
	if err != nil {
		return s, fmt.Errorf("settings of site %s: %w", overlay, err)
	}
	s.Settings = p
	return s, nil
}

// service returns the service with the given name. It panics if there is none.
func (s Site) service(name string) *Service {
	for i := range s.Services {
		if s.Services[i].Name == name {
			return &s.Services[i]
		}
	}
	panic("unknown service " + name) // sites are constant
}

// localShare is the ratio of the latency within an availability zone to the latency between zones.
const localShare = 0.2

// localLatency returns the one-way latency within an availability zone.
func (s Site) localLatency() time.Duration { return time.Duration(localShare * float64(s.ZoneLatency)) }

// minSlotTime returns the mean time for which a request to the service occupies a slot if nothing queues and all calls stay
// within the availability zone: its own work, its calls and the latency of the calls. The factors in slow multiply service
// times.
func (s Site) minSlotTime(name string, slow map[string]float64) time.Duration {
	svc := s.service(name)
	d := svc.MeanServiceTime
	if f := slow[name]; f > 0 {
		d = time.Duration(float64(d) * f)
	}
	for _, callee := range svc.Calls {
		d += s.minSlotTime(callee, slow) + 2*s.localLatency()
	}
	return d
}

// addSlotTime adds to total, by service, the slot time in seconds that one request takes at every service of its chain.
func (s Site) addSlotTime(name string, slow map[string]float64, total map[string]float64) {
	total[name] += s.minSlotTime(name, slow).Seconds()
	for _, callee := range s.service(name).Calls {
		s.addSlotTime(callee, slow, total)
	}
}

// capacity returns the slot time of a service per second, which is its number of slots.
func (s Site) capacity(name string) float64 {
	svc := s.service(name)
	return float64(svc.Targets * svc.Slots)
}

// MaxGoodput returns the most requests per second that the slots can complete at the given offered rate. Routes of higher
// rank are served first, because the users ask for that order. The factors in slow multiply service times, and those in
// slotShares reduce the number of slots.
func (s Site) MaxGoodput(rate float64, slow, slotShares map[string]float64) float64 {
	free := map[string]float64{}
	for i := range s.Services {
		name := s.Services[i].Name
		free[name] = s.capacity(name)
		if f, ok := slotShares[name]; ok {
			free[name] *= f
		}
	}
	total := 0.0
	for rank := 255; rank >= 0; rank-- {
		for _, r := range s.Routes {
			if int(r.Rank) != rank {
				continue
			}
			slotTime := map[string]float64{}
			s.addSlotTime(r.Service, slow, slotTime)
			completed := rate * r.Share
			for name, c := range slotTime {
				completed = min(completed, free[name]/c)
			}
			for name, c := range slotTime {
				free[name] -= completed * c
			}
			total += completed
		}
	}
	return total
}

// withSaturationRate returns the site with SaturationRate set, found by bisection.
func (s Site) withSaturationRate() Site {
	low, high := 0.0, 1e6
	for range 60 {
		mid := (low + high) / 2
		if s.MaxGoodput(mid, nil, nil) >= mid*(1-1e-9) {
			low = mid
		} else {
			high = mid
		}
	}
	s.SaturationRate = low
	return s
}
