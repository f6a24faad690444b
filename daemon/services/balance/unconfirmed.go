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

// undecided holds the requests that broke on servers which may have crashed,
// until the probes of the servers are back and their result is published. It
// is state of traffic.
type undecided struct {
	// size is read first, so that requests pay nothing when nothing broke.
	size atomic.Int32

	mu      sync.Mutex
	broken  map[quarantine.Fingerprint][]structs.HostName
	settled chan struct{}
}

func newUndecided() *undecided {
	return &undecided{
		broken:  make(map[quarantine.Fingerprint][]structs.HostName),
		settled: make(chan struct{}),
	}
}

// maxCrashes is at how many crashes a request may be. One that broke on so
// many servers is held back until it is known whether they crashed.
const maxCrashes = 2

// add notes that a request broke on a server.
func (u *undecided) add(print quarantine.Fingerprint, server structs.HostName) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !slices.Contains(u.broken[print], server) {
		u.broken[print] = append(u.broken[print], server)
	}
	u.size.Store(int32(len(u.broken)))
}

// settle forgets a server. What its probe showed must have been published.
func (u *undecided) settle(server structs.HostName) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for print, servers := range u.broken {
		servers = slices.DeleteFunc(servers, func(name structs.HostName) bool { return name == server })
		if len(servers) == 0 {
			delete(u.broken, print)
			continue
		}
		u.broken[print] = servers
	}
	u.size.Store(int32(len(u.broken)))
	close(u.settled)
	u.settled = make(chan struct{})
}

// count returns on how many servers a request broke that are not settled, and
// a channel that is closed when the next one is.
func (u *undecided) count(print quarantine.Fingerprint) (int, <-chan struct{}) {
	if u.size.Load() == 0 {
		return 0, nil
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.broken[print]), u.settled
}

// cleared returns the newest snapshot for a request, after the probes of the
// servers on which it broke where those might be its second crash. It fails
// with code DueTimePassed, or with code Quarantined when the request crashed
// them.
func (s *service) cleared(ctx context.Context, request *contract.PickRequest) (*snapshot, error) {
	for {
		// The snapshot is read second: what is no longer counted is in it.
		broken, settled := s.undecided.count(request.Fingerprint)
		current := s.snapshot.Load()
		if current.requests.Quarantined[request.Fingerprint] {
			return nil, result.New(result.Quarantined, "")
		}
		if broken > 0 && current.requests.Suspects[request.Fingerprint] {
			broken++
		}
		if broken < maxCrashes {
			return current, nil
		}
		if err := s.await(ctx, request, settled); err != nil {
			return nil, err
		}
	}
}

func (s *service) await(ctx context.Context, request *contract.PickRequest, settled <-chan struct{}) error {
	if !request.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, request.Deadline.Sub(s.clock.Now()))
		defer cancel()
	}
	select {
	case <-settled:
		return nil
	case <-ctx.Done():
		return result.New(result.DueTimePassed, "requests like this one broke on several servers")
	}
}
