package quarantine

import (
	"slices"
	"time"

	"github.com/flamingobeam/flamingobeam/coord/structs"
)

// Breaks gathers the requests whose connections broke, server by server, until
// a probe tells whether the server crashed or only the connections did.
type Breaks struct{ servers map[structs.HostName]*Crash }

// NewBreaks returns an empty collection.
func NewBreaks() *Breaks { return &Breaks{servers: make(map[structs.HostName]*Crash)} }

// Broke takes in a broken request and reports whether it is the first one, so
// that the server is to be probed.
func (bs *Breaks) Broke(now time.Time, server structs.HostName, f Fingerprint) bool {
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

// Settle ends the collection for a server and returns the crash.
func (bs *Breaks) Settle(server structs.HostName) (Crash, bool) {
	crash, ok := bs.servers[server]
	if !ok {
		return Crash{}, false
	}
	delete(bs.servers, server)
	return *crash, true
}
