// Package measure runs the request path of whole deployments in virtual time: real engines over fake links and fake
// targets, beside a naive version with the same arrivals and faults. It measures goodput and recovery and checks every
// answer against what the targets ran.
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
	ZoneLatency    time.Duration // between availability zones
	ClientLatency  time.Duration // one way
	Services       []Service
	Routes         []Route
	SaturationRate float64 // requests a second at a load of 1, at which the tightest service is just saturated
	// Settings gives the site's queue, retry and balance settings; nil: the defaults.
	Settings *policy.Policy
}

// Service describes the targets of a service.
type Service struct {
	Name            string
	Targets         int
	Slots           int
	Connections     int
	MeanServiceTime time.Duration // own work for one request; calls come on top
	Calls           []string      // services that every request calls, one after the other
}

// Route describes the requests that callers send.
type Route struct {
	Name    string
	Service string
	Share   float64 // of the requests
	Class   string
	Rank    uint8
	Once    bool // must not be executed twice
}

// Ranks of the classes of both sites.
const (
	rankBrowse = 1
	rankOrder  = 3
)

// clientTimeout is how long a caller waits for one attempt. It is several times the latency of an idle chain.
const clientTimeout = 2 * time.Second

// Haetsal returns the deployment of the franchise cafés. Sizes are today's; the service times are chosen so that the chains
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

// baseFile is the base file in the directory of the policy files; the overlay of a site has the site's name.
const baseFile = "base.ini"

// BaseFileOnly names no overlay: the settings of the base file.
const BaseFileOnly = "base file"

// WithOverlay returns the site with the settings of a site's overlay over the base file, or of the base file alone.
// Services and routes stay as they are, because the sites that are measured have several services of the same kind in one.
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

// service returns the service with the name.
func (s Site) service(name string) *Service {
	for i := range s.Services {
		if s.Services[i].Name == name {
			return &s.Services[i]
		}
	}
	panic("unknown service " + name) // sites are constant
}

// localShare is the latency inside an availability zone as a share of the latency between zones.
const localShare = 0.2

// localLatency returns the one-way latency inside an availability zone.
func (s Site) localLatency() time.Duration { return time.Duration(localShare * float64(s.ZoneLatency)) }

// minSlotTime returns the least time for which a request of the service holds a slot: its own work, its calls, and the way to
// targets of the same availability zone.
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

// addSlotTime adds the slot time that one request of the service takes at every service of its chain, in seconds.
func (s Site) addSlotTime(name string, slow map[string]float64, total map[string]float64) {
	total[name] += s.minSlotTime(name, slow).Seconds()
	for _, callee := range s.service(name).Calls {
		s.addSlotTime(callee, slow, total)
	}
}

// capacity returns the slots of a service as slot seconds per second.
func (s Site) capacity(name string) float64 {
	svc := s.service(name)
	return float64(svc.Targets * svc.Slots)
}

// MaxGoodput returns the requests a second that the slots can complete at most when the given rate is offered: routes of higher
// rank first, because that is the order that the users ask for. The factors slow the work of services down and shrink
// the slots that are there.
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

// withSaturationRate sets the rate at which the tightest service is just saturated.
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
