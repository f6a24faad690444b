package balance

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/flamingobeam/flamingobeam/coord/quarantine"
	"github.com/flamingobeam/flamingobeam/coord/result"
	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
)

// unconfirmedFailures holds the requests whose connections broke on servers
// that may have crashed, until those servers are probed and the results are
// published. Traffic goroutines share it.
type unconfirmedFailures struct {
	// size is the number of requests. It is read first, so that no lock is
	// needed as long as no connection broke.
	size atomic.Int32

	mu       sync.Mutex
	servers  map[quarantine.Fingerprint][]structs.HostName
	resolved chan struct{}
}

func newUnconfirmedFailures() *unconfirmedFailures {
	return &unconfirmedFailures{
		servers:  make(map[quarantine.Fingerprint][]structs.HostName),
		resolved: make(chan struct{}),
	}
}

// quarantineCrashes is the number of crashes that may quarantine a request. A
// request whose connections broke on this many servers waits until probes show
// whether the servers crashed.
const quarantineCrashes = 2

// add records that a request's connection to a server broke.
func (u *unconfirmedFailures) add(fingerprint quarantine.Fingerprint, server structs.HostName) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !slices.Contains(u.servers[fingerprint], server) {
		u.servers[fingerprint] = append(u.servers[fingerprint], server)
	}
	u.size.Store(int32(len(u.servers)))
}

// resolve removes a server. The result of its probe must be published before.
func (u *unconfirmedFailures) resolve(server structs.HostName) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for fingerprint, servers := range u.servers {
		servers = slices.DeleteFunc(servers, func(name structs.HostName) bool { return name == server })
		if len(servers) == 0 {
			delete(u.servers, fingerprint)
			continue
		}
		u.servers[fingerprint] = servers
	}
	u.size.Store(int32(len(u.servers)))
	close(u.resolved)
	u.resolved = make(chan struct{})
}

// count returns the number of unresolved servers on which a request's
// connection broke, and a channel that is closed when a server is resolved.
func (u *unconfirmedFailures) count(fingerprint quarantine.Fingerprint) (int, <-chan struct{}) {
	if u.size.Load() == 0 {
		return 0, nil
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.servers[fingerprint]), u.resolved
}

// awaitProbes returns the newest snapshot for a request. If the request may
// have crashed its second server, it first waits for the probes of the servers
// on which its connection broke. It fails with code DueTimePassed, or with code
// Quarantined when the request is quarantined.
func (s *service) awaitProbes(ctx context.Context, request *contract.PickRequest) (*snapshot, error) {
	for {
		// The snapshot is loaded after the count, so that it contains the
		// results of all resolved servers.
		unconfirmed, resolved := s.unconfirmed.count(request.Fingerprint)
		current := s.snapshot.Load()
		if current.quarantine.Quarantined[request.Fingerprint] {
			return nil, result.New(result.Quarantined, "")
		}
		if unconfirmed > 0 && current.quarantine.Suspects[request.Fingerprint] {
			unconfirmed++
		}
		if unconfirmed < quarantineCrashes {
			return current, nil
		}
		if err := s.awaitResolution(ctx, request, resolved); err != nil {
			return nil, err
		}
	}
}

func (s *service) awaitResolution(ctx context.Context, request *contract.PickRequest, resolved <-chan struct{}) error {
	if !request.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, request.Deadline.Sub(s.clock.Now()))
		defer cancel()
	}
	select {
	case <-resolved:
		return nil
	case <-ctx.Done():
		return result.New(result.DueTimePassed, "requests like this one broke on several servers")
	}
}
