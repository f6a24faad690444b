// Package reach decides whether a daemon is cut off from all backend servers, as opposed
// to some servers being down or slow. It answers the load of a host whose links to the
// servers fail while callers, the store and other hosts still reach it.
package reach

import (
	"time"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// State is a daemon's verdict on its links to the servers.
type State uint8

// The states.
const (
	// Reachable means that servers are reached directly.
	Reachable State = iota
	// Suspected means that several servers failed at once and probes are in progress.
	Suspected
	// CutOff means that no server could be reached.
	CutOff
)

// String returns the name of the state in log lines.
func (s State) String() string { return [...]string{"reachable", "suspected", "cut off"}[s] }

const (
	// minFailedServers is the number of servers that must fail before the links are
	// suspected. A service often has a single server that is down.
	minFailedServers = 2
	// failureWindow is the time within which they fail.
	failureWindow = 2 * time.Second
	// quietAfterRefuted is how long the links are not suspected again after a probe
	// reached a server.
	quietAfterRefuted = time.Second
	// relapseWindow is the time within which a further cut makes the daemon more
	// careful to use its links again.
	relapseWindow = 15 * time.Second
	// minGoodRounds and maxGoodRounds bound the rounds of probes in a row that must
	// succeed before the links are used again.
	minGoodRounds = 2
	maxGoodRounds = 8
)

// Detector collects the failures. The zero value has recorded none. It is not safe for
// concurrent use.
type Detector struct {
	state State
	// failedAt maps the servers that have failed to the time of the last failure.
	failedAt map[structs.HostName]time.Time
	// quietUntil is when the links may be suspected again.
	quietUntil time.Time
	// goodRounds counts the rounds of probes that succeeded in a row while the daemon
	// was cut off, and neededRounds those that it takes.
	goodRounds   int
	neededRounds int
	restoredAt   time.Time
}

// State returns the current state.
func (d *Detector) State() State { return d.state }

// RecordReached records that a new connection to a server was established.
func (d *Detector) RecordReached() { clear(d.failedAt) }

// RecordFailure records that a server could not be connected, closed a connection
// without a response or stopped sending. It reports whether the links are now suspected, so
// that servers have to be probed. Listed is the number of servers in the list.
func (d *Detector) RecordFailure(now time.Time, server structs.HostName, listed int) bool {
	if d.state != Reachable || listed == 0 {
		return false
	}
	if d.failedAt == nil {
		d.failedAt = make(map[structs.HostName]time.Time)
	}
	d.failedAt[server] = now
	for other, at := range d.failedAt {
		if now.Sub(at) > failureWindow {
			delete(d.failedAt, other)
		}
	}
	if len(d.failedAt) < min(minFailedServers, listed) || now.Before(d.quietUntil) {
		return false
	}
	d.state = Suspected
	return true
}

// RecordProbes records a round of probes: the number of servers probed and of those that
// accepted a connection. It reports whether the daemon is now cut off or no longer is.
func (d *Detector) RecordProbes(now time.Time, probed, reached int) bool {
	switch d.state {
	case Suspected:
		return d.judge(now, probed, reached)
	case CutOff:
		return d.restore(now, probed, reached)
	}
	return false
}

func (d *Detector) judge(now time.Time, probed, reached int) bool {
	clear(d.failedAt)
	if reached > 0 || probed == 0 {
		d.state, d.quietUntil = Reachable, now.Add(quietAfterRefuted)
		return false
	}
	if d.neededRounds == 0 || now.Sub(d.restoredAt) > relapseWindow {
		d.neededRounds = minGoodRounds
	} else {
		d.neededRounds = min(maxGoodRounds, 2*d.neededRounds)
	}
	d.state, d.goodRounds = CutOff, 0
	return true
}

func (d *Detector) restore(now time.Time, probed, reached int) bool {
	if probed == 0 || reached == 0 {
		d.goodRounds = 0
		return false
	}
	if d.goodRounds++; d.goodRounds < d.neededRounds {
		return false
	}
	d.state, d.restoredAt = Reachable, now
	return true
}
