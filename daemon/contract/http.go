package contract

import (
	"github.com/flamingobeam/flamingobeam/coord/settings"
	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// The paths of the operators' HTTP interface.
const (
	PathStatus   = "/v1/operator/status"
	PathDocument = "/v1/operator/document"
	PathChanges  = "/v1/operator/changes"
	PathZones    = "/v1/operator/zones"
)

// Status is a daemon's control state as operators see it.
type Status struct {
	Host      structs.HostName   `json:"host"`
	Place     structs.Place      `json:"place"`
	Revision  settings.Revision  `json:"revision"`
	Collector structs.HostName   `json:"collector"`
	Term      structs.Term       `json:"term"`
	Collects  bool               `json:"collects"`
	Granted   bool               `json:"granted"`
	InDoubt   []string           `json:"in_doubt,omitempty"`
	Roster    []structs.HostName `json:"roster,omitempty"`
	Document  *settings.Document `json:"document,omitempty"`
}

// Suspension declares the hosts of a zone stopped, or no longer so.
type Suspension struct {
	Zone    structs.ZoneName `json:"zone"`
	Stopped bool             `json:"stopped"`
}

// Refusal is the JSON body of every refusal and failure.
type Refusal struct {
	Code    int    `json:"code"`
	Name    string `json:"name"`
	Outcome string `json:"outcome"`
	Message string `json:"message"`
}
