package node

import (
	"encoding/json"
	"net/http"

	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/wigeoncleat/wigeoncleat/internal/process/invariant"
	"github.com/wigeoncleat/wigeoncleat/internal/request/message"
)

// Status is the response of the admin interface's status path.
type Status struct {
	Address          string                    `json:"address"`
	Incarnation      uint64                    `json:"incarnation"`
	AvailabilityZone string                    `json:"availability_zone"`
	Site             string                    `json:"site"`
	Service          string                    `json:"service"`
	TargetState      string                    `json:"target_state"`
	Version          uint64                    `json:"version"`
	Confirmed        bool                      `json:"confirmed"`
	Leaving          bool                      `json:"leaving"`
	Active           int                       `json:"active"`
	InFlight         int                       `json:"in_flight"`
	Limit            int                       `json:"limit"`
	Threshold        message.Priority          `json:"threshold"`
	Members          int                       `json:"members"`
	LinksDialed      int                       `json:"links_dialed"`
	LinksAccepted    int                       `json:"links_accepted"`
	Violations       map[invariant.Name]int64  `json:"violations"`
	Services         map[string]map[string]int `json:"services"` // members by service and state
	Zones            map[string]map[string]int `json:"availability_zones"`
}
