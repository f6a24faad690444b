package fleet

import (
	"time"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

const (
	// ConnectFailureCooldown is how long a server gets no work after a failed connect.
	ConnectFailureCooldown = 2 * time.Second
	// RefusalCooldown is how long a server gets no work after it refused some. It
	// is longer than the list lags, so that a server that leaves gets none
	// until the list says so; one that was overloaded comes back.
	RefusalCooldown = time.Minute
	// maxDoublings bounds how often RefusalCooldown is doubled for a server that
	// refuses again after it came back.
	maxDoublings = 3
	// maxLeavingPart is the part of a service's live servers that may be held
	// for leaving by their refusals alone: when more refuse work, they are
	// overloaded, and the others could not carry the load.
	maxLeavingPart = 0.5
)

// sign is what was seen of a server.
type sign struct {
	service structs.ServiceName
	// unreached and leaving are until when the server gets no work.
	unreached, leaving time.Time
	// refusals counts the marks since the server last answered.
	refusals int
}

func (s *sign) isLeaving(now time.Time) bool { return now.Before(s.leaving) }

// AvailabilityTracker keeps what traffic saw of backend servers, which corrects a list that
// lags. It is not safe for concurrent use.
type AvailabilityTracker struct {
	signs map[structs.HostName]*sign
	// live counts the servers of each service that are not listed as leaving.
	live map[structs.ServiceName]int
	// held counts those held for leaving, as of the last RecountHeld.
	held map[structs.ServiceName]int
}

// NewAvailabilityTracker returns signs of nothing.
func NewAvailabilityTracker() *AvailabilityTracker {
	return &AvailabilityTracker{
		signs: make(map[structs.HostName]*sign),
		live:  make(map[structs.ServiceName]int),
		held:  make(map[structs.ServiceName]int),
	}
}

// SetHosts takes in the platform's list. Signs of servers that it does not
// have, or that it has as leaving, are forgotten: one that is listed as live
// later begins anew.
func (s *AvailabilityTracker) SetHosts(now time.Time, list []structs.BackendServer) {
	clear(s.live)
	present := make(map[structs.HostName]bool, len(list))
	for i := range list {
		if !list[i].Draining {
			present[list[i].Name] = true
			s.live[list[i].Service]++
		}
	}
	for name := range s.signs {
		if !present[name] {
			delete(s.signs, name)
		}
	}
	s.RecountHeld(now)
}

// RecountHeld counts the servers held for leaving anew. It is to be called when a
// mark runs out.
func (s *AvailabilityTracker) RecountHeld(now time.Time) {
	clear(s.held)
	for _, seen := range s.signs {
		if seen.isLeaving(now) {
			s.held[seen.service]++
		}
	}
}

// RecordConnectFailure notes a failed connect. It returns until when the server gets no
// work, and false when it gets none already.
func (s *AvailabilityTracker) RecordConnectFailure(now time.Time, server structs.BackendServer) (time.Time, bool) {
	if !s.MayGetWork(now, server) {
		return time.Time{}, false
	}
	seen := s.of(server)
	seen.unreached = now.Add(ConnectFailureCooldown)
	return seen.unreached, true
}

// RecordRefusal notes that a server refused new work. It returns until when the
// server gets none, and false when nothing changes: it is held for leaving
// already, or too many of its service are.
func (s *AvailabilityTracker) RecordRefusal(now time.Time, server structs.BackendServer) (time.Time, bool) {
	known := s.signs[server.Name]
	if known != nil && known.isLeaving(now) || server.Draining || !s.mayHold(server.Service) {
		return time.Time{}, false
	}
	seen := s.of(server)
	seen.leaving = now.Add(RefusalCooldown << min(seen.refusals, maxDoublings))
	seen.refusals++
	s.held[server.Service]++
	return seen.leaving, true
}

// mayHold reports whether one more server of a service may be held for
// leaving.
func (s *AvailabilityTracker) mayHold(service structs.ServiceName) bool {
	return float64(s.held[service]+1) <= maxLeavingPart*float64(s.live[service])
}

// RecordAnswer notes an answer and reports whether the server may get work again.
// A server that leaves answers what it took on before, so that its mark stays.
func (s *AvailabilityTracker) RecordAnswer(now time.Time, name structs.HostName) bool {
	seen := s.signs[name]
	if seen == nil || seen.isLeaving(now) {
		return false
	}
	wasOut := now.Before(seen.unreached)
	delete(s.signs, name)
	return wasOut
}

// MayGetWork reports whether a server may get new work.
func (s *AvailabilityTracker) MayGetWork(now time.Time, server structs.BackendServer) bool {
	if server.Draining {
		return false
	}
	seen := s.signs[server.Name]
	return seen == nil || !now.Before(seen.unreached) && !seen.isLeaving(now)
}

func (s *AvailabilityTracker) of(server structs.BackendServer) *sign {
	seen, ok := s.signs[server.Name]
	if !ok {
		seen = &sign{service: server.Service}
		s.signs[server.Name] = seen
	}
	return seen
}
