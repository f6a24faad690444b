// Package hedge decides when a request that may be repeated is sent to a second server
// as well, and keeps the extra requests within a share of all. It answers the load of a
// few servers that are slow while others have room: a request that takes much longer than
// others of its kind is hedged. When all servers are slow, the share keeps hedges from
// adding to the load.
package hedge

import (
	"maps"
	"math"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

const (
	// window is the time constant with which requests and hedges are forgotten.
	window = 30 * time.Second
	// acceptedPart is the part of the limit that calls for accepted work may use, so that
	// they leave hedges to callers who wait for their response.
	acceptedPart = 0.6
	// forgetBelow is the number of requests below which a workspace is forgotten.
	forgetBelow = 0.01
)

// Tally counts requests and hedges, with the weight of older ones decayed. It crosses
// net/rpc under the names of its exported fields.
type Tally struct {
	Requests float64
	Hedges   float64
}

// Tallies counts the requests of a service by workspace. Requests without a workspace
// have an empty name.
type Tallies map[structs.WorkspaceName]Tally

// Refusal is the reason why a request is not hedged.
type Refusal string

// The reasons.
const (
	Allowed             Refusal = ""
	RefusedByService    Refusal = "service-limit"
	RefusedByWorkspace  Refusal = "workspace-limit"
	RefusedByKind       Refusal = "not-repeatable"
	RefusedByAttempts   Refusal = "attempts"
	RefusedByDeadline   Refusal = "deadline"
	RefusedByRoom       Refusal = "no-room"
	RefusedByNoResponse Refusal = "no-response"
)

// Account keeps the hedges of services within a share of their requests, for each service
// and for each of its workspaces. It is not safe for concurrent use.
type Account struct {
	share    float64
	services map[structs.ServiceName]*serviceAccount
}

type serviceAccount struct {
	total      Tally
	workspaces Tallies
	at         time.Time
}

// NewAccount returns an empty account. The share is the number of hedges allowed for each
// request.
func NewAccount(share float64) *Account {
	return &Account{share: share, services: make(map[structs.ServiceName]*serviceAccount)}
}

// Add adds requests and hedges of a service.
func (a *Account) Add(now time.Time, service structs.ServiceName, tallies Tallies) {
	s := a.service(now, service)
	for workspace, added := range tallies {
		if !isCount(added.Requests) || !isCount(added.Hedges) {
			continue
		}
		tally := s.workspaces[workspace]
		tally.Requests += added.Requests
		tally.Hedges += added.Hedges
		s.workspaces[workspace] = tally
		s.total.Requests += added.Requests
		s.total.Hedges += added.Hedges
	}
}

func isCount(x float64) bool { return x >= 0 && !math.IsInf(x, 1) }

// Take counts a hedge if the limits of the service and the workspace allow it. Each
// workspace may have one hedge, however few its requests are, if the service's limit
// allows it. Calls for accepted work may use only a part of the limit.
func (a *Account) Take(now time.Time, service structs.ServiceName, workspace structs.WorkspaceName, isAccepted bool) Refusal {
	s := a.service(now, service)
	if refusal := a.check(s.total, s.workspaces[workspace], isAccepted); refusal != Allowed {
		return refusal
	}
	a.Add(now, service, Tallies{workspace: {Hedges: 1}})
	return Allowed
}

// check decides whether the limits allow a hedge, from the counts of a service and of a
// workspace.
func (a *Account) check(total, workspace Tally, isAccepted bool) Refusal {
	limit := a.share * total.Requests
	if isAccepted {
		limit *= acceptedPart
	}
	switch {
	case total.Hedges+1 > limit:
		return RefusedByService
	case workspace.Hedges+1 > max(1, a.share*workspace.Requests):
		return RefusedByWorkspace
	}
	return Allowed
}

// Forecast returns what Take would decide for a request that is counted before it, and the
// counts of the service with that request. It changes nothing.
func (a *Account) Forecast(now time.Time, service structs.ServiceName, workspace structs.WorkspaceName, isAccepted bool) (Refusal, Tally) {
	total, own := Tally{Requests: 1}, Tally{Requests: 1}
	if s := a.services[service]; s != nil {
		decay := s.decay(now)
		total = total.plus(s.total.scaled(decay))
		if tally := s.workspaces[workspace].scaled(decay); decay == 1 || !tally.isForgotten() {
			own = own.plus(tally)
		}
	}
	return a.check(total, own, isAccepted), total
}

// Split removes and returns a part of what is counted for a service, from 0 to 1. Another
// account takes it over.
func (a *Account) Split(now time.Time, service structs.ServiceName, part float64) Tallies {
	s := a.service(now, service)
	split := make(Tallies, len(s.workspaces))
	for workspace, tally := range s.workspaces {
		split[workspace] = tally.scaled(part)
		s.workspaces[workspace] = tally.scaled(1 - part)
	}
	s.total = s.total.scaled(1 - part)
	return split
}

// Requests returns the number of requests that are counted for a service.
func (a *Account) Requests(now time.Time, service structs.ServiceName) float64 {
	return a.service(now, service).total.Requests
}

// Share returns the hedges of a service divided by its requests.
func (a *Account) Share(now time.Time, service structs.ServiceName) float64 {
	total := a.service(now, service).total
	if total.Requests == 0 {
		return 0
	}
	return total.Hedges / total.Requests
}

// service returns the account of a service, decayed until now.
func (a *Account) service(now time.Time, name structs.ServiceName) *serviceAccount {
	s := a.services[name]
	if s == nil {
		s = &serviceAccount{workspaces: make(Tallies), at: now}
		a.services[name] = s
	}
	decay := s.decay(now)
	if decay == 1 {
		return s
	}
	s.at, s.total = now, s.total.scaled(decay)
	for workspace, tally := range s.workspaces {
		s.workspaces[workspace] = tally.scaled(decay)
	}
	maps.DeleteFunc(s.workspaces, func(_ structs.WorkspaceName, t Tally) bool { return t.isForgotten() })
	return s
}

// decay returns the factor by which the counts have decayed until now.
func (s *serviceAccount) decay(now time.Time) float64 {
	elapsed := now.Sub(s.at)
	if elapsed < window/64 {
		return 1
	}
	return math.Exp(-elapsed.Seconds() / window.Seconds())
}

func (t Tally) isForgotten() bool { return t.Requests+t.Hedges < forgetBelow }

func (t Tally) plus(other Tally) Tally {
	return Tally{Requests: t.Requests + other.Requests, Hedges: t.Hedges + other.Hedges}
}

func (t Tally) scaled(factor float64) Tally {
	return Tally{Requests: t.Requests * factor, Hedges: t.Hedges * factor}
}
