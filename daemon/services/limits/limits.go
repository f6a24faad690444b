// Package limits is the service "traffic.limits". It keeps to the limits of requests a
// second that backend servers name in their responses: before each request to such a
// server it asks the leader of the daemons, which hands out the requests that the server
// takes. Goroutines of traffic use it concurrently; mutexes that are held only for short
// calculations protect it.
package limits

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/flamingobeam/flamingobeam/coord/structs"
	"github.com/flamingobeam/flamingobeam/coord/tokenbucket"
	"github.com/flamingobeam/flamingobeam/daemon/contract"
	"github.com/flamingobeam/flamingobeam/kernel"
)

func init() {
	kernel.Register(contract.NameServerLimits, func() kernel.Service {
		return &service{limited: make(map[structs.HostName]*limitedServer)}
	})
}

// forgetAfter is how long a limit is kept without a response that names it.
const forgetAfter = time.Minute

type service struct {
	kernel.Base
	clock   clockwork.Clock
	log     *logrus.Entry
	metrics contract.Metrics
	session contract.Session
	peers   contract.Peers
	handout handout

	// limitedCount is the number of limited servers, so that responses of others
	// need no lock while there are none.
	limitedCount atomic.Int64

	mu      sync.Mutex
	limited map[structs.HostName]*limitedServer
}

// limitedServer is a server that names a limit.
type limitedServer struct {
	// limit is in requests a second.
	limit float64
	// namedAt is when the request was sent whose response named the limit last.
	namedAt time.Time
	// exhaustedUntil is when the server takes a request again, as the leader said when
	// it last refused one.
	exhaustedUntil time.Time
	// own is spent while the leader cannot be reached.
	own tokenbucket.Bucket
}

var _ contract.ServerLimits = (*service)(nil)

// Provision implements kernel.Service.
func (s *service) Provision(ctx *kernel.Context) error {
	s.clock, s.log = ctx.Clock(), ctx.Log()
	err := kernel.FindAll(ctx,
		kernel.Bind(&s.metrics, contract.NameMetrics),
		kernel.Bind(&s.session, contract.NameSession),
		kernel.Bind(&s.peers, contract.NamePeers),
	)
	if err != nil {
		return err
	}
	rpc, err := kernel.Find[contract.RPCServer](ctx, contract.NameRPCServer)
	if err != nil {
		return err
	}
	return rpc.Register(rpcName, &Receiver{service: s})
}

// Observe implements contract.ServerLimits. A response that names no limit only counts
// if its request was sent after the one whose response named it.
func (s *service) Observe(server structs.HostName, limit float64, sentAt time.Time) {
	isNamed := limit >= 0
	if !isNamed && s.limitedCount.Load() == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.limited[server]
	if known != nil && sentAt.Before(known.namedAt) || known == nil && !isNamed {
		return
	}
	switch {
	case !isNamed:
		delete(s.limited, server)
		s.log.WithFields(logrus.Fields{"server": server, "limit": known.limit}).Info("A server names no limit any more.")
	case known == nil:
		s.forgetOld()
		s.limited[server] = &limitedServer{limit: limit, namedAt: sentAt}
		s.log.WithFields(logrus.Fields{"server": server, "limit": limit}).Info("A server named a limit of requests a second.")
	default:
		if known.limit != limit {
			s.log.WithFields(logrus.Fields{"server": server, "limit": limit, "before": known.limit}).Info("A server changed its limit of requests a second.")
			known.exhaustedUntil = time.Time{}
		}
		known.limit, known.namedAt = limit, sentAt
	}
	s.limitedCount.Store(int64(len(s.limited)))
}

// forgetOld removes the servers that have named no limit for long. The lock must be
// held.
func (s *service) forgetOld() {
	oldest := s.clock.Now().Add(-forgetAfter)
	for server, known := range s.limited {
		if known.namedAt.Before(oldest) {
			delete(s.limited, server)
		}
	}
}
