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

// Fleet emulates the host list and the weight store in memory. Changes of the
// host list become visible after a lag. It is safe for concurrent use.
type Fleet struct {
	lag           time.Duration
	weightLimiter *rate.Limiter

	mu           sync.Mutex
	servers      map[structs.HostName]structs.BackendServer
	versions     map[structs.ServiceName]structs.WeightVersion
	revision     uint64
	changeSignal chan struct{}
}

var (
	_ outside.HostList    = (*Fleet)(nil)
	_ outside.WeightStore = (*Fleet)(nil)
)

// weightReadsPerSecond is the rate limit of the weight store.
const weightReadsPerSecond = 50

// NewFleet returns a fleet whose host list changes after a lag.
func NewFleet(lag time.Duration) *Fleet {
	return &Fleet{
		lag:           lag,
		weightLimiter: newLimiter(weightReadsPerSecond),
		servers:       make(map[structs.HostName]structs.BackendServer),
		versions:      make(map[structs.ServiceName]structs.WeightVersion),
		revision:      1,
		changeSignal:  make(chan struct{}),
	}
}

// Set adds or replaces a backend server after the lag.
func (f *Fleet) Set(server structs.BackendServer) {
	f.applyAfterLag(func() { f.servers[server.Name] = server })
}

// Remove removes a backend server after the lag.
func (f *Fleet) Remove(name structs.HostName) {
	f.applyAfterLag(func() { delete(f.servers, name) })
}

// Publish makes a weight version the newest one of a model at once. An older
// version than the current one has no effect.
func (f *Fleet) Publish(model structs.ServiceName, version structs.WeightVersion) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.versions[model] = max(f.versions[model], version)
	f.notifyWatchers()
}

func (f *Fleet) applyAfterLag(change func()) {
	time.AfterFunc(f.lag, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		change()
		f.revision++
		f.notifyWatchers()
	})
}

func (f *Fleet) notifyWatchers() {
	close(f.changeSignal)
	f.changeSignal = make(chan struct{})
}

// Hosts implements outside.HostList.
func (f *Fleet) Hosts(ctx context.Context, zone structs.ZoneName, after uint64, wait time.Duration) (outside.HostSnapshot, error) {
	var snapshot outside.HostSnapshot
	err := f.waitFor(ctx, wait, func() bool {
		snapshot = outside.HostSnapshot{Revision: f.revision}
		if f.revision <= after {
			return false
		}
		snapshot.Servers = f.serversInZone(zone)
		return true
	})
	return snapshot, err
}

func (f *Fleet) serversInZone(zone structs.ZoneName) []structs.BackendServer {
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
	if !f.weightLimiter.Allow() {
		return 0, outside.ErrRateLimited
	}
	var newest structs.WeightVersion
	err := f.waitFor(ctx, wait, func() bool {
		newest = f.versions[model]
		return newest > after
	})
	return newest, err
}

// waitFor waits until condition, evaluated under the mutex, is true or the
// timeout expires. It returns outside.ErrUnavailable if ctx ends first.
func (f *Fleet) waitFor(ctx context.Context, timeout time.Duration, condition func() bool) error {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		f.mu.Lock()
		met, changeSignal := condition(), f.changeSignal
		f.mu.Unlock()
		if met {
			return nil
		}
		select {
		case <-changeSignal:
		case <-timer.C:
			return nil
		case <-ctx.Done():
			return outside.ErrUnavailable
		}
	}
}
