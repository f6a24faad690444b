package fleet

import (
	"time"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

const (
	// ConnectFailureCooldown is how long a server gets no new work after a failed
	// connection attempt.
	ConnectFailureCooldown = 2 * time.Second
	// RefusalCooldown is how long a server gets no new work after refusing some.
	// It exceeds the delay of the host list, so that a draining server gets none
	// until the list shows it as draining. An overloaded server gets work again
	// afterwards.
	RefusalCooldown = time.Minute
	// maxDoublings is how many times RefusalCooldown is doubled at most for a
	// server that keeps refusing work after its cooldown.
	maxDoublings = 3
	// maxHeldFraction is the fraction of a service's live servers that may be in
	// refusal cooldown. When more of them refuse work, they are overloaded rather
	// than draining, and the rest could not carry the load.
	maxHeldFraction = 0.5
)

// serverStatus is what traffic observed of a server.
type serverStatus struct {
	service structs.ServiceName
	// The server gets no new work before these times.
	connectCooldownEnd, refusalCooldownEnd time.Time
	// refusals counts refusal cooldowns since the server last responded outside
	// of one.
	refusals int
}

func (s *serverStatus) inRefusalCooldown(now time.Time) bool {
	return now.Before(s.refusalCooldownEnd)
}

// AvailabilityTracker tracks backend servers that refused work or could not be
// reached, ahead of the platform's host list, which lags. It is not safe for
// concurrent use.
type AvailabilityTracker struct {
	statuses map[structs.HostName]*serverStatus
	// live counts the servers of each service that are not listed as draining.
	live map[structs.ServiceName]int
	// held counts the servers of each service in refusal cooldown, as of the last
	// RecountHeld.
	held map[structs.ServiceName]int
}

// NewAvailabilityTracker returns a tracker without servers.
func NewAvailabilityTracker() *AvailabilityTracker {
	return &AvailabilityTracker{
		statuses: make(map[structs.HostName]*serverStatus),
		live:     make(map[structs.ServiceName]int),
		held:     make(map[structs.ServiceName]int),
	}
}

// SetHosts replaces the host list. The status of a server that is not listed, or
// is listed as draining, is dropped, so that it starts without cooldown if it is
// listed as live later.
func (t *AvailabilityTracker) SetHosts(now time.Time, list []structs.BackendServer) {
	clear(t.live)
	present := make(map[structs.HostName]bool, len(list))
	for i := range list {
		if !list[i].Draining {
			present[list[i].Name] = true
			t.live[list[i].Service]++
		}
	}
	for name := range t.statuses {
		if !present[name] {
			delete(t.statuses, name)
		}
	}
	t.RecountHeld(now)
}

// RecountHeld recounts the servers in refusal cooldown. It must be called when a
// cooldown ends.
func (t *AvailabilityTracker) RecountHeld(now time.Time) {
	clear(t.held)
	for _, status := range t.statuses {
		if status.inRefusalCooldown(now) {
			t.held[status.service]++
		}
	}
}

// RecordConnectFailure records a failed connection attempt and starts a cooldown.
// It returns the end of the cooldown, or false when the server already gets no
// new work.
func (t *AvailabilityTracker) RecordConnectFailure(now time.Time, server structs.BackendServer) (time.Time, bool) {
	if !t.MayGetWork(now, server) {
		return time.Time{}, false
	}
	status := t.statusOf(server)
	status.connectCooldownEnd = now.Add(ConnectFailureCooldown)
	return status.connectCooldownEnd, true
}

// RecordRefusal records that a server refused new work and starts a cooldown. It
// returns the end of the cooldown, or false when none starts: the server is
// already in refusal cooldown or listed as draining, or too many servers of its
// service are in refusal cooldown.
func (t *AvailabilityTracker) RecordRefusal(now time.Time, server structs.BackendServer) (time.Time, bool) {
	known := t.statuses[server.Name]
	if known != nil && known.inRefusalCooldown(now) || server.Draining || !t.mayHold(server.Service) {
		return time.Time{}, false
	}
	status := t.statusOf(server)
	status.refusalCooldownEnd = now.Add(RefusalCooldown << min(status.refusals, maxDoublings))
	status.refusals++
	t.held[server.Service]++
	return status.refusalCooldownEnd, true
}

// mayHold reports whether one more server of a service may enter refusal
// cooldown.
func (t *AvailabilityTracker) mayHold(service structs.ServiceName) bool {
	return float64(t.held[service]+1) <= maxHeldFraction*float64(t.live[service])
}

// RecordAnswer records a response and reports whether it ended a connect cooldown.
// A refusal cooldown stays, because a draining server still responds to requests
// that it accepted earlier.
func (t *AvailabilityTracker) RecordAnswer(now time.Time, name structs.HostName) bool {
	status := t.statuses[name]
	if status == nil || status.inRefusalCooldown(now) {
		return false
	}
	wasInCooldown := now.Before(status.connectCooldownEnd)
	delete(t.statuses, name)
	return wasInCooldown
}

// MayGetWork reports whether a server may get new work.
func (t *AvailabilityTracker) MayGetWork(now time.Time, server structs.BackendServer) bool {
	if server.Draining {
		return false
	}
	status := t.statuses[server.Name]
	return status == nil || !now.Before(status.connectCooldownEnd) && !status.inRefusalCooldown(now)
}

// statusOf returns the status of a server and creates it if necessary.
func (t *AvailabilityTracker) statusOf(server structs.BackendServer) *serverStatus {
	status, ok := t.statuses[server.Name]
	if !ok {
		status = &serverStatus{service: server.Service}
		t.statuses[server.Name] = status
	}
	return status
}
