package quarantine

import (
	"slices"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// UnconfirmedCrashes collects, for each server, the requests whose connections
// broke, until a probe shows whether the server crashed or only the connections
// failed.
type UnconfirmedCrashes struct{ servers map[structs.HostName]*Crash }

// NewUnconfirmedCrashes returns an empty collection.
func NewUnconfirmedCrashes() *UnconfirmedCrashes {
	return &UnconfirmedCrashes{servers: make(map[structs.HostName]*Crash)}
}

// AddSuspect records a request with a broken connection. It returns true for
// the first request of a server, which must then be probed.
func (u *UnconfirmedCrashes) AddSuspect(now time.Time, server structs.HostName, f Fingerprint) bool {
	crash, ok := u.servers[server]
	if !ok {
		crash = &Crash{Server: server, At: now}
		u.servers[server] = crash
	}
	if f != 0 && len(crash.Suspects) < maxSuspects && !slices.Contains(crash.Suspects, f) {
		crash.Suspects = append(crash.Suspects, f)
	}
	return !ok
}

// Remove removes the suspected crash of a server and returns it, or false when
// there is none.
func (u *UnconfirmedCrashes) Remove(server structs.HostName) (Crash, bool) {
	crash, ok := u.servers[server]
	if !ok {
		return Crash{}, false
	}
	delete(u.servers, server)
	return *crash, true
}
