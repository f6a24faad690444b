package quarantine

import (
	"slices"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// UnconfirmedCrashes gathers the requests whose connections broke, server by server, until
// a probe tells whether the server crashed or only the connections did.
type UnconfirmedCrashes struct{ servers map[structs.HostName]*Crash }

// NewUnconfirmedCrashes returns an empty collection.
func NewUnconfirmedCrashes() *UnconfirmedCrashes {
	return &UnconfirmedCrashes{servers: make(map[structs.HostName]*Crash)}
}

// AddSuspect takes in a broken request and reports whether it is the first one, so
// that the server is to be probed.
func (bs *UnconfirmedCrashes) AddSuspect(now time.Time, server structs.HostName, f Fingerprint) bool {
	crash, ok := bs.servers[server]
	if !ok {
		crash = &Crash{Server: server, At: now}
		bs.servers[server] = crash
	}
	if f != 0 && len(crash.Suspects) < maxSuspects && !slices.Contains(crash.Suspects, f) {
		crash.Suspects = append(crash.Suspects, f)
	}
	return !ok
}

// Remove ends the collection for a server and returns the crash.
func (bs *UnconfirmedCrashes) Remove(server structs.HostName) (Crash, bool) {
	crash, ok := bs.servers[server]
	if !ok {
		return Crash{}, false
	}
	delete(bs.servers, server)
	return *crash, true
}
