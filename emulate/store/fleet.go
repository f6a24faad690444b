package store

import (
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/outside"
)

// Fleet is the host list and the weight store in memory. Changes of the list
// show after a lag. It is safe for concurrent use.
type Fleet struct {
	lag   time.Duration
	reads *rate.Limiter

	mu       sync.Mutex
	servers  map[structs.HostName]structs.BackendServer
	versions map[structs.ServiceName]structs.WeightVersion
	revision uint64
	changed  chan struct{}
}

var (
	_ outside.HostList    = (*Fleet)(nil)
	_ outside.WeightStore = (*Fleet)(nil)
)

// weightReads is how many calls a second the weight store takes.
const weightReads = 50

// NewFleet returns a fleet whose list lags by a span.
func NewFleet(lag time.Duration) *Fleet {
	return &Fleet{
		lag:      lag,
		reads:    limiter(weightReads),
		servers:  make(map[structs.HostName]structs.BackendServer),
		versions: make(map[structs.ServiceName]structs.WeightVersion),
		revision: 1,
		changed:  make(chan struct{}),
	}
}

// Set adds or replaces a server after the lag.
func (f *Fleet) Set(server structs.BackendServer) {
	f.later(func() { f.servers[server.Name] = server })
}

// Remove takes a server from the list after the lag.
func (f *Fleet) Remove(name structs.HostName) {
	f.later(func() { delete(f.servers, name) })
}

// Publish makes a weight version the newest one at once.
func (f *Fleet) Publish(model structs.ServiceName, version structs.WeightVersion) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.versions[model] = max(f.versions[model], version)
	f.wake()
}

func (f *Fleet) later(change func()) {
	time.AfterFunc(f.lag, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		change()
		f.revision++
		f.wake()
	})
}

func (f *Fleet) wake() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// Hosts implements outside.HostList.
func (f *Fleet) Hosts(ctx context.Context, zone structs.ZoneName, after uint64, wait time.Duration) (outside.HostSnapshot, error) {
	var changes outside.HostSnapshot
	err := f.await(ctx, wait, func() bool {
		changes = outside.HostSnapshot{Revision: f.revision}
		if f.revision <= after {
			return false
		}
		changes.Servers = f.listed(zone)
		return true
	})
	return changes, err
}

func (f *Fleet) listed(zone structs.ZoneName) []structs.BackendServer {
	servers := make([]structs.BackendServer, 0, len(f.servers))
	for _, server := range f.servers {
		if zone == "" || server.Place.Zone == zone {
			servers = append(servers, server)
		}
	}
	slices.SortFunc(servers, func(a, b structs.BackendServer) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return servers
}

// Newest implements outside.WeightStore.
func (f *Fleet) Newest(ctx context.Context, model structs.ServiceName, after structs.WeightVersion, wait time.Duration) (structs.WeightVersion, error) {
	if !f.reads.Allow() {
		return 0, outside.ErrRateLimited
	}
	var newest structs.WeightVersion
	err := f.await(ctx, wait, func() bool {
		newest = f.versions[model]
		return newest > after
	})
	return newest, err
}

// await returns when check, called under the lock, holds, or after wait.
func (f *Fleet) await(ctx context.Context, wait time.Duration, check func() bool) error {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		f.mu.Lock()
		holds, changed := check(), f.changed
		f.mu.Unlock()
		if holds {
			return nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil
		case <-ctx.Done():
			return outside.ErrUnavailable
		}
	}
}
